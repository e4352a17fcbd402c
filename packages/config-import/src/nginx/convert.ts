/**
 * Conversion of nginx directives to a configuration. Directives without an equivalent, such as TLS and patterns, are
 * listed as skipped.
 */

import type { Directive } from './parse.js';
import {
  type RouteMatch,
  durationMsOf,
  identifierOf,
  isReadMethod,
  matchesOf,
  methodsOf,
} from './values.js';

/** Directive that was not converted, with its position and the reason. */
export interface SkippedDirective {
  readonly file: string;
  readonly line: number;
  readonly name: string;
  readonly reason: string;
}

/** Converted configuration, and the directives that are missing from it. */
export interface ConversionResult {
  readonly description: object;
  readonly skipped: readonly SkippedDirective[];
}

const noEquivalentReason = 'no equivalent setting';

/** Matches literal host names; wildcards and regular expressions are not supported. */
const literalHostPattern = /^[a-z0-9.-]+$/;

/** Range of timeouts that the configuration accepts; values outside are clamped. */
const minTimeoutMs = 10;
const maxTimeoutMs = 600_000;

/** Directives that are converted by their own rules, or that can be ignored without loss. */
const structuralDirectives: ReadonlySet<string> = new Set([
  'events',
  'worker_processes',
  'user',
  'pid',
  'http',
  'server',
  'listen',
  'server_name',
  'location',
  'upstream',
]);

/** Directives that are read when the block that contains them is converted. */
const settingDirectives: ReadonlySet<string> = new Set([
  'proxy_cache',
  'proxy_read_timeout',
  'proxy_cache_valid',
  'proxy_cache_key',
  'proxy_pass',
  'limit_except',
]);

/** Settings that nested blocks inherit. */
interface InheritedSettings {
  readonly cache: boolean;
  readonly lifetimeMs: number | undefined;
  readonly timeoutMs: number | undefined;
  readonly query: boolean;
}

/** Location that forwards requests to a service. */
interface ForwardingLocation {
  readonly path: string;
  readonly service: string;
  readonly methods: readonly string[];
  readonly settings: InheritedSettings;
}

/** Collects services, routes and skipped directives in one pass over the blocks. */
class NginxConverter {
  readonly skipped: SkippedDirective[] = [];
  readonly services = new Set<string>();
  readonly routes: object[] = [];
  readonly #nameCounts = new Map<string, number>();

  /** Records a directive as skipped. */
  skip(directive: Directive, reason: string): void {
    this.skipped.push({
      file: directive.file,
      line: directive.line,
      name: [directive.name, ...directive.args].join(' '),
      reason,
    });
  }

  /** Appends a number to names that are already taken by another route. */
  #uniqueName(name: string): string {
    const count = (this.#nameCounts.get(name) ?? 0) + 1;
    this.#nameCounts.set(name, count);
    return count === 1 ? name : `${name}-${count}`;
  }

  /** Returns the settings of a block: those of the enclosing block, overridden by its own directives. */
  #settingsOf(outer: InheritedSettings, directives: readonly Directive[]): InheritedSettings {
    let settings = outer;
    for (const directive of directives) {
      if (directive.name === 'proxy_cache')
        settings = { ...settings, cache: directive.args[0] !== 'off' };
      else if (directive.name === 'proxy_read_timeout')
        settings = {
          ...settings,
          timeoutMs: durationMsOf(directive.args[0]) ?? settings.timeoutMs,
        };
      else if (directive.name === 'proxy_cache_valid') {
        const appliesToStatus200 =
          directive.args.length === 1 ||
          directive.args.includes('200') ||
          directive.args.includes('any');
        if (appliesToStatus200)
          settings = {
            ...settings,
            lifetimeMs: durationMsOf(directive.args.at(-1)) ?? settings.lifetimeMs,
          };
        else this.skip(directive, 'a route has a single cache lifetime');
      } else if (directive.name === 'proxy_cache_key') {
        if (/\$(request_uri|args|is_args|query_string)/.test(directive.args.join('')))
          settings = { ...settings, query: true };
        else if (/\$uri/.test(directive.args.join(''))) settings = { ...settings, query: false };
        else this.skip(directive, 'cache keys consist of route, host, path and query');
      }
    }
    return settings;
  }

  /** Converts the contents of the `http` block. */
  convertHttp(directives: readonly Directive[]): void {
    const settings = this.#settingsOf(
      { cache: false, lifetimeMs: undefined, timeoutMs: undefined, query: true },
      directives,
    );
    for (const directive of directives) {
      if (directive.name === 'upstream') this.#convertUpstream(directive);
      else if (directive.name === 'server') this.#convertServer(directive, settings);
      else this.#skipUnknown(directive);
    }
  }

  #skipUnknown(directive: Directive): void {
    if (settingDirectives.has(directive.name)) return;
    if (structuralDirectives.has(directive.name) && directive.block === undefined) return;
    this.skip(directive, noEquivalentReason);
  }

  #convertUpstream(directive: Directive): void {
    this.services.add(identifierOf(directive.args[0] ?? ''));
    for (const inner of directive.block ?? [])
      this.skip(
        inner,
        inner.name === 'server'
          ? 'origins register themselves; configure each origin to announce its address'
          : 'origins are selected by health and free slots',
      );
  }

  #convertServer(directive: Directive, outer: InheritedSettings): void {
    const block = directive.block ?? [];
    const settings = this.#settingsOf(outer, block);
    const names = block
      .filter((inner) => inner.name === 'server_name')
      .flatMap((inner) => inner.args);
    const hosts = names.filter((name) => literalHostPattern.test(name));
    for (const inner of block) {
      if (inner.name === 'server_name') {
        for (const name of inner.args)
          if (name !== '_' && !literalHostPattern.test(name))
            this.skip(inner, `host ${name} is a pattern; list the host names`);
      } else if (inner.name === 'listen') {
        if (inner.args.includes('ssl'))
          this.skip(inner, 'clients connect over HTTP/1.1 without TLS');
      } else if (inner.name === 'location')
        this.#convertLocation(inner, settings, hosts.length === 0 ? [undefined] : hosts);
      else this.#skipUnknown(inner);
    }
  }

  #convertLocation(
    directive: Directive,
    outer: InheritedSettings,
    hosts: readonly (string | undefined)[],
  ): void {
    const block = directive.block ?? [];
    const [modifier, path = ''] =
      directive.args.length > 1 ? directive.args : ['', directive.args[0]];
    if (modifier === '~' || modifier === '~*' || !path.startsWith('/')) {
      this.skip(
        directive,
        'patterns and named locations are not supported; routes match by path or prefix',
      );
      return;
    }
    const settings = this.#settingsOf(outer, block);
    for (const inner of block) {
      if (inner.name === 'location') this.#convertLocation(inner, settings, hosts);
      else this.#skipUnknown(inner);
    }
    const service = this.#serviceOf(directive, path);
    if (service === undefined) return;
    const location = { path, service, methods: methodsOf(block), settings };
    for (const host of hosts)
      for (const match of matchesOf(modifier, path)) this.#addRoutes(match, host, location);
  }

  /** Returns the service that a location forwards to; undefined if its target is no fixed URL. */
  #serviceOf(location: Directive, path: string): string | undefined {
    const block = location.block ?? [];
    const pass = block.find(({ name }) => name === 'proxy_pass');
    if (pass === undefined) {
      if (!block.some(({ name }) => name === 'location'))
        this.skip(location, 'location without proxy_pass');
      return undefined;
    }
    const [url = ''] = pass.args;
    const target = /^https?:\/\/([^/]+)(\/.*)?$/.exec(url);
    if (target === null || url.includes('$')) {
      this.skip(pass, 'the target of proxy_pass is not a fixed http or https URL');
      return undefined;
    }
    const [, upstream = '', newPath] = target;
    if (newPath !== undefined && newPath !== path)
      this.skip(pass, 'paths are forwarded unchanged; the rewrite of the path is ignored');
    const service = identifierOf(upstream);
    this.services.add(service);
    return service;
  }

  /** Adds a route, or two if responses are cached: GET and HEAD through the cache, other methods past it. */
  #addRoutes(match: RouteMatch, host: string | undefined, location: ForwardingLocation): void {
    const { path, service, methods, settings } = location;
    const { timeoutMs, lifetimeMs, query } = settings;
    const base = {
      ...match,
      ...(host === undefined ? {} : { host }),
      service,
      class: 'imported',
      ...(timeoutMs === undefined
        ? {}
        : { timeoutMs: Math.max(minTimeoutMs, Math.min(maxTimeoutMs, timeoutMs)) }),
    };
    const nextName = (): string => this.#uniqueName(identifierOf(`${host ?? 'any'}${path}`));
    const cachedMethods = settings.cache ? methods.filter(isReadMethod) : [];
    if (cachedMethods.length === 0) {
      this.routes.push({ name: nextName(), ...base, methods });
      return;
    }
    this.routes.push({
      name: nextName(),
      ...base,
      methods: cachedMethods,
      cache: { ...(lifetimeMs === undefined ? {} : { lifetimeMs }), query },
    });
    const otherMethods = methods.filter((method) => !isReadMethod(method));
    if (otherMethods.length > 0)
      this.routes.push({ name: nextName(), ...base, methods: otherMethods });
  }
}

/** Converts the directives of an nginx configuration. Skipped directives are sorted by file and line. */
export const convertNginx = (directives: readonly Directive[]): ConversionResult => {
  const converter = new NginxConverter();
  for (const directive of directives) {
    if (directive.name === 'http') converter.convertHttp(directive.block ?? []);
    else if (!structuralDirectives.has(directive.name))
      converter.skip(directive, noEquivalentReason);
  }
  return {
    description: {
      format: 1,
      classes: [{ name: 'imported', share: 1 }],
      services: [...converter.services].map((name) => ({ name })),
      routes: converter.routes,
    },
    skipped: [...converter.skipped].sort((left, right) =>
      left.file === right.file ? left.line - right.line : left.file < right.file ? -1 : 1,
    ),
  };
};
