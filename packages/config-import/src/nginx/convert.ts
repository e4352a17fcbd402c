import type { Directive } from './parse.js';

/** A directive that was not carried over, and why. */
export interface SkippedDirective {
  readonly file: string;
  readonly line: number;
  readonly name: string;
  readonly reason: string;
}

/** What an import came to. */
export interface ConversionResult {
  readonly description: object;
  readonly skipped: readonly SkippedDirective[];
}

const units: ReadonlyMap<string, number> = new Map([
  ['', 1000],
  ['ms', 1],
  ['s', 1000],
  ['m', 60_000],
  ['h', 3_600_000],
  ['d', 86_400_000],
]);
const durationMsOf = (raw: string | undefined): number | undefined => {
  const found = /^(\d+)(ms|s|m|h|d)?$/.exec(raw ?? '');
  return found === null ? undefined : Number(found[1]) * (units.get(found[2] ?? '') ?? 1000);
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

class NginxConverter {
  readonly skipped: SkippedDirective[] = [];
  readonly services = new Set<string>();
  readonly routes: object[] = [];
  readonly #nameCounts = new Map<string, number>();

  skip(directive: Directive, reason: string): void {
    this.skipped.push({
      file: directive.file,
      line: directive.line,
      name: [directive.name, ...directive.args].join(' '),
      reason: reason,
    });
  }

  #uniqueName(name: string): string {
    const many = (this.#nameCounts.get(name) ?? 0) + 1;
    this.#nameCounts.set(name, many);
    return many === 1 ? name : `${name}-${many}`;
  }

  /** Settings that hold for what stands within. */
  #inheritedBy(outer: InheritedSettings, list: readonly Directive[]): InheritedSettings {
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

  convertHttp(list: readonly Directive[]): void {
    const scope = this.#inheritedBy(
      { cache: false, lifetimeMs: undefined, timeoutMs: undefined, query: true },
      list,
    );
    for (const one of list) {
      if (one.name === 'upstream') this.#convertUpstream(one);
      else if (one.name === 'server') this.#convertServer(one, scope);
      else this.#skipUnknown(one);
    }
  }

  #skipUnknown(directive: Directive): void {
    if (
      [
        'proxy_cache',
        'proxy_read_timeout',
        'proxy_cache_valid',
        'proxy_cache_key',
        'proxy_pass',
        'limit_except',
      ].includes(directive.name)
    )
      return;
    if (structuralDirectives.has(directive.name) && directive.block === undefined) return;
    this.skip(directive, 'has no counterpart here');
  }

  #convertUpstream(directive: Directive): void {
    this.services.add(identifierOf(directive.args[0] ?? ''));
    for (const row of directive.block ?? [])
      this.skip(
        row,
        row.name === 'server'
          ? 'origins announce themselves; start them with their own announcements'
          : 'origins are elected by health and free slots',
      );
  }

  #convertServer(directive: Directive, outer: InheritedSettings): void {
    const list = directive.block ?? [];
    const scope = this.#inheritedBy(outer, list);
    const names = list.filter((row) => row.name === 'server_name').flatMap((row) => row.args);
    const hosts = names.filter((name) => /^[a-z0-9.-]+$/.test(name));
    for (const row of list) {
      if (row.name === 'server_name') {
        for (const name of row.args)
          if (name !== '_' && !/^[a-z0-9.-]+$/.test(name))
            this.skip(row, `the host ${name} is a pattern; name the hosts`);
      } else if (row.name === 'listen') {
        if (row.args.includes('ssl'))
          this.skip(row, 'callers are spoken to over HTTP/1.1 without TLS');
      } else if (row.name === 'location')
        this.#convertLocation(row, scope, hosts.length === 0 ? [undefined] : hosts);
      else this.#skipUnknown(row);
    }
  }

  #convertLocation(
    directive: Directive,
    outer: InheritedSettings,
    hosts: readonly (string | undefined)[],
  ): void {
    const list = directive.block ?? [];
    const [sign, given] =
      directive.args.length > 1 ? [directive.args[0], directive.args[1]] : ['', directive.args[0]];
    const place = given ?? '';
    if (sign === '~' || sign === '~*' || place.startsWith('@') || !place.startsWith('/')) {
      this.skip(
        directive,
        'patterns and named locations have no counterpart; routes go by path or prefix',
      );
      return;
    }
    const scope = this.#inheritedBy(outer, list);
    const pass = list.find((row) => row.name === 'proxy_pass');
    for (const row of list) {
      if (row.name === 'location') this.#convertLocation(row, scope, hosts);
      else this.#skipUnknown(row);
    }
    if (pass === undefined) {
      if (!list.some((row) => row.name === 'location')) this.skip(directive, 'no proxy_pass in it');
      return;
    }
    const target = /^https?:\/\/([^/]+)(\/.*)?$/.exec(pass.args[0] ?? '');
    if (target === null || (pass.args[0] ?? '').includes('$')) {
      this.skip(pass, 'the target is not a fixed one');
      return;
    }
    if (target[2] !== undefined && target[2] !== place)
      this.skip(pass, 'paths are handed on as they are; the change of path is left out');
    const service = identifierOf(target[1] ?? '');
    this.services.add(service);
    const only = list.find((row) => row.name === 'limit_except');
    const methods =
      only === undefined
        ? [...readMethods, ...writeMethods]
        : [...new Set(only.args.flatMap((name) => (name === 'GET' ? [...readMethods] : [name])))];
    const places =
      sign === '='
        ? [{ path: place }]
        : place.endsWith('/')
          ? [{ prefix: place }]
          : [{ path: place }, { prefix: `${place}/` }];
    for (const host of hosts)
      for (const spot of places) this.#addRoutes(spot, host, service, methods, scope, place);
  }

  #addRoutes(
    match: object,
    host: string | undefined,
    service: string,
    methods: readonly string[],
    scope: InheritedSettings,
    path: string,
  ): void {
    const base = {
      ...match,
      ...(host === undefined ? {} : { host }),
      service,
      class: 'imported',
      ...(scope.timeoutMs === undefined
        ? {}
        : { timeoutMs: Math.max(10, Math.min(600_000, scope.timeoutMs)) }),
    };
    const name = (): string => this.#uniqueName(identifierOf(`${host ?? 'any'}${path}`));
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

/** Turns directives into a description; what has no counterpart is listed. */
export const convertNginx = (directives: readonly Directive[]): ConversionResult => {
  const carrier = new NginxConverter();
  for (const one of directives) {
    if (one.name === 'http') carrier.convertHttp(one.block ?? []);
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
