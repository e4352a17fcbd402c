/** Converts nginx directives into a configuration; TLS, patterns and whatever else has no counterpart is listed as skipped. */

import type { Directive } from './parse.js';
import {
  type RouteMatch,
  durationMsOf,
  identifierOf,
  isReadMethod,
  matchesOf,
  methodsOf,
} from './values.js';

/** A directive that was not carried over, and why. */
export interface SkippedDirective {
  readonly file: string;
  readonly line: number;
  readonly name: string;
  readonly reason: string;
}

/** The converted configuration, and what was left out of it. */
export interface ConversionResult {
  readonly description: object;
  readonly skipped: readonly SkippedDirective[];
}

const noCounterpart = 'has no counterpart here';

/** Hosts are taken over by name; patterns are not. */
const hostPattern = /^[a-z0-9.-]+$/;

/** The bounds of a route's timeout. */
const minTimeoutMs = 10;
const maxTimeoutMs = 600_000;

/** Directives that give the configuration its structure, or that have no meaning here and no loss when left out. */
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

/** Directives that are read where they apply. */
const settingDirectives: ReadonlySet<string> = new Set([
  'proxy_cache',
  'proxy_read_timeout',
  'proxy_cache_valid',
  'proxy_cache_key',
  'proxy_pass',
  'limit_except',
]);

/** Settings that a block passes on to the blocks within. */
interface InheritedSettings {
  readonly cache: boolean;
  readonly lifetimeMs: number | undefined;
  readonly timeoutMs: number | undefined;
  readonly query: boolean;
}

/** A location that forwards to a service. */
interface ForwardingLocation {
  readonly path: string;
  readonly service: string;
  readonly methods: readonly string[];
  readonly settings: InheritedSettings;
}

/** Collects services and routes while it walks through the blocks. */
class NginxConverter {
  readonly skipped: SkippedDirective[] = [];
  readonly services = new Set<string>();
  readonly routes: object[] = [];
  readonly #nameCounts = new Map<string, number>();

  /** Notes a directive that is not carried over. */
  skip(directive: Directive, reason: string): void {
    this.skipped.push({
      file: directive.file,
      line: directive.line,
      name: [directive.name, ...directive.args].join(' '),
      reason,
    });
  }

  /** Numbers the names of routes that would be the same. */
  #uniqueName(name: string): string {
    const count = (this.#nameCounts.get(name) ?? 0) + 1;
    this.#nameCounts.set(name, count);
    return count === 1 ? name : `${name}-${count}`;
  }

  /** The settings of a block: those of the block around it, changed by its own directives. */
  #inheritedBy(outer: InheritedSettings, list: readonly Directive[]): InheritedSettings {
    let scope = outer;
    for (const directive of list) {
      if (directive.name === 'proxy_cache')
        scope = { ...scope, cache: directive.args[0] !== 'off' };
      else if (directive.name === 'proxy_read_timeout')
        scope = { ...scope, timeoutMs: durationMsOf(directive.args[0]) ?? scope.timeoutMs };
      else if (directive.name === 'proxy_cache_valid') {
        const holdsForOk =
          directive.args.length === 1 ||
          directive.args.includes('200') ||
          directive.args.includes('any');
        if (holdsForOk)
          scope = { ...scope, lifetimeMs: durationMsOf(directive.args.at(-1)) ?? scope.lifetimeMs };
        else this.skip(directive, 'one lifetime holds for all kept results');
      } else if (directive.name === 'proxy_cache_key') {
        if (/\$(request_uri|args|is_args|query_string)/.test(directive.args.join('')))
          scope = { ...scope, query: true };
        else if (/\$uri/.test(directive.args.join(''))) scope = { ...scope, query: false };
        else this.skip(directive, 'keys are made of route, host, path and query');
      }
    }
    return scope;
  }

  /** Converts the contents of the `http` block. */
  convertHttp(list: readonly Directive[]): void {
    const scope = this.#inheritedBy(
      { cache: false, lifetimeMs: undefined, timeoutMs: undefined, query: true },
      list,
    );
    for (const directive of list) {
      if (directive.name === 'upstream') this.#convertUpstream(directive);
      else if (directive.name === 'server') this.#convertServer(directive, scope);
      else this.#skipUnknown(directive);
    }
  }

  #skipUnknown(directive: Directive): void {
    if (settingDirectives.has(directive.name)) return;
    if (structuralDirectives.has(directive.name) && directive.block === undefined) return;
    this.skip(directive, noCounterpart);
  }

  #convertUpstream(directive: Directive): void {
    this.services.add(identifierOf(directive.args[0] ?? ''));
    for (const inner of directive.block ?? [])
      this.skip(
        inner,
        inner.name === 'server'
          ? 'origins announce themselves; start them with their own announcements'
          : 'origins are elected by health and free slots',
      );
  }

  #convertServer(directive: Directive, outer: InheritedSettings): void {
    const block = directive.block ?? [];
    const scope = this.#inheritedBy(outer, block);
    const names = block
      .filter((inner) => inner.name === 'server_name')
      .flatMap((inner) => inner.args);
    const hosts = names.filter((name) => hostPattern.test(name));
    for (const inner of block) {
      if (inner.name === 'server_name') {
        for (const name of inner.args)
          if (name !== '_' && !hostPattern.test(name))
            this.skip(inner, `the host ${name} is a pattern; name the hosts`);
      } else if (inner.name === 'listen') {
        if (inner.args.includes('ssl'))
          this.skip(inner, 'callers are spoken to over HTTP/1.1 without TLS');
      } else if (inner.name === 'location')
        this.#convertLocation(inner, scope, hosts.length === 0 ? [undefined] : hosts);
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
        'patterns and named locations have no counterpart; routes go by path or prefix',
      );
      return;
    }
    const settings = this.#inheritedBy(outer, block);
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

  /** The service that a location passes requests to; undefined if it has none or no fixed one. */
  #serviceOf(location: Directive, path: string): string | undefined {
    const block = location.block ?? [];
    const pass = block.find(({ name }) => name === 'proxy_pass');
    if (pass === undefined) {
      if (!block.some(({ name }) => name === 'location'))
        this.skip(location, 'no proxy_pass in it');
      return undefined;
    }
    const [url = ''] = pass.args;
    const target = /^https?:\/\/([^/]+)(\/.*)?$/.exec(url);
    if (target === null || url.includes('$')) {
      this.skip(pass, 'the target is not a fixed one');
      return undefined;
    }
    const [, upstream = '', newPath] = target;
    if (newPath !== undefined && newPath !== path)
      this.skip(pass, 'paths are handed on as they are; the change of path is left out');
    const service = identifierOf(upstream);
    this.services.add(service);
    return service;
  }

  /** Adds a route, or two if results are cached: reads through the cache, other methods past it. */
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
    const name = (): string => this.#uniqueName(identifierOf(`${host ?? 'any'}${path}`));
    const cachedMethods = settings.cache ? methods.filter(isReadMethod) : [];
    if (cachedMethods.length === 0) {
      this.routes.push({ name: name(), ...base, methods });
      return;
    }
    this.routes.push({
      name: name(),
      ...base,
      methods: cachedMethods,
      cache: { ...(lifetimeMs === undefined ? {} : { lifetimeMs }), query },
    });
    const otherMethods = methods.filter((method) => !isReadMethod(method));
    if (otherMethods.length > 0) this.routes.push({ name: name(), ...base, methods: otherMethods });
  }
}

/** Converts the directives of an nginx configuration; skipped directives are sorted by file and line. */
export const convertNginx = (directives: readonly Directive[]): ConversionResult => {
  const converter = new NginxConverter();
  for (const directive of directives) {
    if (directive.name === 'http') converter.convertHttp(directive.block ?? []);
    else if (!structuralDirectives.has(directive.name)) converter.skip(directive, noCounterpart);
  }
  return {
    description: {
      format: 1,
      classes: [{ name: 'imported', share: 1 }],
      services: [...converter.services].map((name) => ({ name })),
      routes: converter.routes,
    },
    skipped: [...converter.skipped].sort((one, two) =>
      one.file === two.file ? one.line - two.line : one.file < two.file ? -1 : 1,
    ),
  };
};
