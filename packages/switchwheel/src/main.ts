/** Program `switchwheel`: parses the command line, runs one command and prints its result. */

import meow from 'meow';
import { isAddress } from '@switchwheel/types';
import { runCommand } from './command/run.js';

const cli = meow(
  `
  Usage
    $ switchwheel COMMAND [flags]

  Commands
    found NAME               bootstrap a fleet on the connected stores and registries
    check FILE               validate a configuration locally, without contacting a fleet
    import FILE              convert an nginx configuration and print the result
    apply FILE               submit a complete configuration; it is accepted or rejected as a whole
    diff FILE                show what applying a configuration would change
    show                     print the configuration in force
    status                   list nodes, their sessions and lease holders
    rollouts                 list configuration rollouts and their targets
    release SERVICE RELEASE  move a service to the origins of a release within --span; a bad release is rolled back
    releases                 list release rollouts and canary results
    purge [PATH ...]         purge cached objects by path, by --tag, or all of them with --all
    call ID                  show the result of an earlier command by its id
    voter add|remove NODE    add a registry to the electorate, or remove one

  Flags
    --registry, -r   IP:port of a registry; repeat the flag or separate addresses by commas (SWITCHWHEEL_REGISTRY)
    --json           print JSON
    --base N         apply only if generation N is in force (default: the generation in force at the start)
    --force          apply whichever generation is in force
    --id ID          idempotency key of the command; repeating a command with the same id is safe
    --wait MS        maximum time that apply waits for the nodes to report the new generation (default 3000; 0 to not wait)
    --host HOST      purge paths only under this host
    --tag TAG        purge by tag; repeat the flag for several tags
    --all            purge everything
    --strict         import fails if any directive can't be converted
    --store NODE     bootstrap only on this store; repeat the flag for several stores (default: all that are connected)
    --voter NODE     bootstrap with this registry as a voter; repeat the flag for several voters (default: all that are connected)
    --span SPAN      duration of a release rollout, such as 1500ms, 16s or 2m (default 60s)
    --timeout MS     maximum time to wait for the response of each registry (default 10000)

  Exit codes
    0  success    1  rejected, not found, or no registry responded    2  usage error or unreadable file
`,
  {
    importMeta: import.meta,
    description: 'Command line of switchwheel for operators.',
    version: '0.1.0',
    flags: {
      registry: { type: 'string', isMultiple: true, shortFlag: 'r' },
      json: { type: 'boolean', default: false },
      base: { type: 'number' },
      force: { type: 'boolean', default: false },
      id: { type: 'string' },
      wait: { type: 'number', default: 3000 },
      host: { type: 'string' },
      tag: { type: 'string', isMultiple: true },
      all: { type: 'boolean', default: false },
      strict: { type: 'boolean', default: false },
      store: { type: 'string', isMultiple: true },
      voter: { type: 'string', isMultiple: true },
      timeout: { type: 'number', default: 10_000 },
      span: { type: 'string', default: '60s' },
    },
  },
);

const knownFlags = new Set([
  'registry',
  'r',
  'json',
  'base',
  'force',
  'id',
  'wait',
  'host',
  'tag',
  'all',
  'strict',
  'store',
  'voter',
  'timeout',
  'span',
]);
const exitWith = (code: number, message: string): never => {
  process.stderr.write(`switchwheel: ${message}\n`);
  process.exit(code);
};

const [command, ...commandArguments] = cli.input;
if (command === undefined) cli.showHelp(2);
else {
  const unknownFlag = Object.keys(cli.flags).find((name) => !knownFlags.has(name));
  if (unknownFlag !== undefined) exitWith(2, `unknown flag --${unknownFlag}`);
  const registryArguments =
    (cli.flags.registry ?? []).length > 0
      ? (cli.flags.registry ?? [])
      : [process.env['SWITCHWHEEL_REGISTRY'] ?? ''];
  const addresses = registryArguments
    .flatMap((argument) => argument.split(','))
    .map((address) => address.trim())
    .filter((address) => address !== '');
  const invalidAddress = addresses.find((address) => !isAddress(address));
  if (invalidAddress !== undefined)
    exitWith(
      2,
      `--registry: invalid address ${invalidAddress}; expected IP:port, such as 10.0.0.1:7000`,
    );
  const registries = addresses.filter(isAddress);
  if (registries.length === 0 && command !== 'check' && command !== 'import')
    exitWith(2, 'no registry given; set --registry or SWITCHWHEEL_REGISTRY');
  const { base, timeout, wait } = cli.flags;
  if (base !== undefined && !(Number.isSafeInteger(base) && base >= 0))
    exitWith(2, '--base: expected a generation, an integer of at least 0');
  if (!(timeout > 0) || !(wait >= 0))
    exitWith(2, '--timeout must be more than 0 ms, and --wait at least 0 ms');
  const result = await runCommand(command, commandArguments, {
    target: { registries, timeoutMs: timeout },
    json: cli.flags.json,
    base,
    force: cli.flags.force,
    id: cli.flags.id,
    host: cli.flags.host,
    tags: cli.flags.tag ?? [],
    all: cli.flags.all,
    strict: cli.flags.strict,
    stores: cli.flags.store ?? [],
    voters: cli.flags.voter ?? [],
    waitMs: wait,
    span: cli.flags.span,
  });
  if (result.stdout !== '') process.stdout.write(`${result.stdout}\n`);
  if (result.stderr !== '')
    process.stderr.write(
      `${result.stderr
        .split('\n')
        .map((line, index) => (index === 0 ? `switchwheel: ${line}` : line))
        .join('\n')}\n`,
    );
  process.exitCode = result.exitCode;
}
