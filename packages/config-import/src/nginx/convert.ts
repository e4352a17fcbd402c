/**
 * Converting nginx directives into a document: upstreams become services, locations become routes, and
 * settings hold for all that stands within their block.
 */

import type { Directive } from './parse.js';

/** A directive that was not converted, and why. */
export interface SkippedDirective {
  readonly file: string;
  readonly line: number;
  readonly name: string;
  readonly reason: string;
}

/** The document that directives make, and what it leaves out. */
export interface ConversionResult {
  readonly description: object;
  readonly skipped: readonly SkippedDirective[];
}

/** nginx's units of time in milliseconds; a bare number is in seconds. */
const unitsMs: ReadonlyMap<string, number> = new Map([
  ['', 1000],
  ['ms', 1],
  ['s', 1000],
  ['m', 60_000],
  ['h', 3_600_000],
  ['d', 86_400_000],
]);
const durationMsOf = (raw: string | undefined): number | undefined => {
  const found = /^(\d+)(ms|s|m|h|d)?$/.exec(raw ?? '');
  return found === null ? undefined : Number(found[1]) * (unitsMs.get(found[2] ?? '') ?? 1000);
};
const identifierOf = (raw: string): string =>
  raw
    .replace(/[^A-Za-z0-9._-]+/g, '-')
    .replace(/^[^A-Za-z0-9]+/, '')
    .slice(0, 60) || 'unnamed';

const readMethods = ['GET', 'HEAD'] as const;
const writeMethods = ['POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;
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

interface InheritedSettings {
  readonly cache: boolean;
  readonly lifetimeMs: number | undefined;
  readonly timeoutMs: number | undefined;
  readonly query: boolean;
}

/** The methods that a location takes; GET allows HEAD too. */
const methodsOf = (list: readonly Directive[]): readonly string[] => {
  const limit = list.find((directive) => directive.name === 'limit_except');
  if (limit === undefined) return [...readMethods, ...writeMethods];
  return [...new Set(limit.args.flatMap((name) => (name === 'GET' ? [...readMethods] : [name])))];
};

/** What a location matches: a path, a prefix, or both where it has no closing slash. */
const matchersOf = (modifier: string | undefined, path: string): readonly object[] => {
  if (modifier === '=') return [{ path }];
  return path.endsWith('/') ? [{ prefix: path }] : [{ path }, { prefix: `${path}/` }];
};

class NginxConverter {
  readonly skipped: SkippedDirective[] = [];
  readonly services = new Set<string>();
  readonly routes: object[] = [];
  readonly #names = new Map<string, number>();

  skip(one: Directive, why: string): void {
    this.skipped.push({
      file: one.file,
      line: one.line,
      name: [one.name, ...one.args].join(' '),
      reason: why,
    });
  }

  #unique(name: string): string {
    const many = (this.#names.get(name) ?? 0) + 1;
    this.#names.set(name, many);
    return many === 1 ? name : `${name}-${many}`;
  }

  /** Settings that hold for what stands within. */
  #scope(outer: InheritedSettings, list: readonly Directive[]): InheritedSettings {
    let scope = outer;
    for (const one of list) {
      if (one.name === 'proxy_cache') scope = { ...scope, cache: one.args[0] !== 'off' };
      else if (one.name === 'proxy_read_timeout')
        scope = { ...scope, timeoutMs: durationMsOf(one.args[0]) ?? scope.timeoutMs };
      else if (one.name === 'proxy_cache_valid') {
        const good = one.args.length === 1 || one.args.includes('200') || one.args.includes('any');
        if (good)
          scope = { ...scope, lifetimeMs: durationMsOf(one.args.at(-1)) ?? scope.lifetimeMs };
        else this.skip(one, 'one lifetime holds for all kept results');
      } else if (one.name === 'proxy_cache_key') {
        if (/\$(request_uri|args|is_args|query_string)/.test(one.args.join('')))
          scope = { ...scope, query: true };
        else if (/\$uri/.test(one.args.join(''))) scope = { ...scope, query: false };
        else this.skip(one, 'keys are made of route, host, path and query');
      }
    }
    return scope;
  }

  http(list: readonly Directive[]): void {
    const scope = this.#scope(
      { cache: false, lifetimeMs: undefined, timeoutMs: undefined, query: true },
      list,
    );
    for (const one of list) {
      if (one.name === 'upstream') this.#upstream(one);
      else if (one.name === 'server') this.#server(one, scope);
      else this.#other(one);
    }
  }

  #other(one: Directive): void {
    if (
      [
        'proxy_cache',
        'proxy_read_timeout',
        'proxy_cache_valid',
        'proxy_cache_key',
        'proxy_pass',
        'limit_except',
      ].includes(one.name)
    )
      return;
    if (structuralDirectives.has(one.name) && one.block === undefined) return;
    this.skip(one, 'has no counterpart here');
  }

  #upstream(one: Directive): void {
    this.services.add(identifierOf(one.args[0] ?? ''));
    for (const directive of one.block ?? [])
      this.skip(
        directive,
        directive.name === 'server'
          ? 'origins announce themselves; start them with their own announcements'
          : 'origins are elected by health and free slots',
      );
  }

  #server(one: Directive, outer: InheritedSettings): void {
    const list = one.block ?? [];
    const scope = this.#scope(outer, list);
    const names = list
      .filter((directive) => directive.name === 'server_name')
      .flatMap((directive) => directive.args);
    const hosts = names.filter((name) => /^[a-z0-9.-]+$/.test(name));
    for (const directive of list) {
      if (directive.name === 'server_name') {
        for (const name of directive.args)
          if (name !== '_' && !/^[a-z0-9.-]+$/.test(name))
            this.skip(directive, `the host ${name} is a pattern; name the hosts`);
      } else if (directive.name === 'listen') {
        if (directive.args.includes('ssl'))
          this.skip(directive, 'callers are spoken to over HTTP/1.1 without TLS');
      } else if (directive.name === 'location')
        this.#location(directive, scope, hosts.length === 0 ? [undefined] : hosts);
      else this.#other(directive);
    }
  }

  #location(
    one: Directive,
    outer: InheritedSettings,
    hosts: readonly (string | undefined)[],
  ): void {
    const list = one.block ?? [];
    const [modifier, given] = one.args.length > 1 ? [one.args[0], one.args[1]] : ['', one.args[0]];
    const path = given ?? '';
    if (modifier === '~' || modifier === '~*' || path.startsWith('@') || !path.startsWith('/')) {
      this.skip(
        one,
        'patterns and named locations have no counterpart; routes go by path or prefix',
      );
      return;
    }
    const scope = this.#scope(outer, list);
    const pass = list.find((directive) => directive.name === 'proxy_pass');
    for (const directive of list) {
      if (directive.name === 'location') this.#location(directive, scope, hosts);
      else this.#other(directive);
    }
    if (pass === undefined) {
      if (!list.some((directive) => directive.name === 'location'))
        this.skip(one, 'no proxy_pass in it');
      return;
    }
    const target = /^https?:\/\/([^/]+)(\/.*)?$/.exec(pass.args[0] ?? '');
    if (target === null || (pass.args[0] ?? '').includes('$')) {
      this.skip(pass, 'the target is not a fixed one');
      return;
    }
    if (target[2] !== undefined && target[2] !== path)
      this.skip(pass, 'paths are handed on as they are; the change of path is left out');
    const service = identifierOf(target[1] ?? '');
    this.services.add(service);
    const methods = methodsOf(list);
    for (const host of hosts)
      for (const matcher of matchersOf(modifier, path))
        this.#route(matcher, host, service, methods, scope, path);
  }

  #route(
    matcher: object,
    host: string | undefined,
    service: string,
    methods: readonly string[],
    scope: InheritedSettings,
    path: string,
  ): void {
    const base = {
      ...matcher,
      ...(host === undefined ? {} : { host }),
      service,
      class: 'imported',
      ...(scope.timeoutMs === undefined
        ? {}
        : { timeoutMs: Math.max(10, Math.min(600_000, scope.timeoutMs)) }),
    };
    const name = (): string => this.#unique(identifierOf(`${host ?? 'any'}${path}`));
    const keeps = scope.cache && methods.some((one) => one === 'GET' || one === 'HEAD');
    if (!keeps) {
      this.routes.push({ name: name(), ...base, methods });
      return;
    }
    this.routes.push({
      name: name(),
      ...base,
      methods: methods.filter((one) => one === 'GET' || one === 'HEAD'),
      cache: {
        ...(scope.lifetimeMs === undefined ? {} : { lifetimeMs: scope.lifetimeMs }),
        query: scope.query,
      },
    });
    const rest = methods.filter((one) => one !== 'GET' && one !== 'HEAD');
    if (rest.length > 0) this.routes.push({ name: name(), ...base, methods: rest });
  }
}

/** Converts directives into a document; what has no counterpart is listed by file and line. */
export const convertNginx = (list: readonly Directive[]): ConversionResult => {
  const carrier = new NginxConverter();
  for (const one of list) {
    if (one.name === 'http') carrier.http(one.block ?? []);
    else if (!structuralDirectives.has(one.name)) carrier.skip(one, 'has no counterpart here');
  }
  return {
    description: {
      format: 1,
      classes: [{ name: 'imported', share: 1 }],
      services: [...carrier.services].map((name) => ({ name })),
      routes: carrier.routes,
    },
    skipped: [...carrier.skipped].sort((one, two) =>
      one.file === two.file ? one.line - two.line : one.file < two.file ? -1 : 1,
    ),
  };
};
