/** Program `query-shell`: runs an interactive shell, or one query from the command line. All requests are read-only. */

import meow from 'meow';
import { isAddress } from '@switchwheel/types';
import { helpText, readQuery } from './shell/answer.js';
import { runAndFollow, runShell } from './shell/shell.js';

const cli = meow(
  `
  Usage
    $ query-shell -r REGISTRY             start an interactive shell
    $ query-shell -r REGISTRY "QUERY"     run one query and exit

  Flags
    --registry, -r   IP:port of a registry; repeat the flag or separate addresses by commas (SWITCHWHEEL_REGISTRY)
    --json           print each result as one JSON object on one line
    --timeout MS     maximum time to wait for the response of each process (default 1500)
    --history FILE   file that keeps the history of the shell

  Exit codes
    0  success    1  no registry responded    2  usage error or invalid query

${helpText
  .split('\n')
  .map((helpLine) => `  ${helpLine}`)
  .join('\n')}
`,
  {
    importMeta: import.meta,
    description: 'Shell for read-only queries on the state of a switchwheel fleet.',
    version: '0.1.0',
    flags: {
      registry: { type: 'string', isMultiple: true, shortFlag: 'r' },
      json: { type: 'boolean', default: false },
      timeout: { type: 'number', default: 1500 },
      history: { type: 'string' },
    },
  },
);

const exitWithUsageError = (message: string): never => {
  process.stderr.write(`query-shell: ${message}\n`);
  process.exit(2);
};
const unknownFlag = Object.keys(cli.flags).find(
  (name) => !['registry', 'r', 'json', 'timeout', 'history'].includes(name),
);
if (unknownFlag !== undefined) exitWithUsageError(`unknown flag --${unknownFlag}`);
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
  exitWithUsageError(
    `--registry: invalid address ${invalidAddress}; expected IP:port, such as 10.0.0.1:7000`,
  );
const registries = addresses.filter(isAddress);
if (registries.length === 0)
  exitWithUsageError('no registry given; set --registry or SWITCHWHEEL_REGISTRY');
if (!(cli.flags.timeout > 0)) exitWithUsageError('--timeout must be more than 0 ms');
const target = { registries, timeoutMs: cli.flags.timeout, asJson: cli.flags.json };

const queryText = cli.input.join(' ').trim();
if (queryText === '') await runShell(target, cli.flags.history);
else {
  const query = readQuery(queryText);
  if (query.isErr) exitWithUsageError(query.error);
  const abortController = new AbortController();
  process.on('SIGINT', () => abortController.abort());
  const hasResponse = await runAndFollow(queryText, target, abortController.signal, (text) =>
    process.stdout.write(`${text}\n`),
  );
  process.exitCode = hasResponse ? 0 : 1;
}
