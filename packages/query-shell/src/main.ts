/** The program `query-shell`: an interactive shell, or one query from the command line. It only reads. */

import meow from 'meow';
import { isAddress } from '@switchwheel/types';
import { helpText, readQuery } from './shell/answer.js';
import { runAndFollow, runShell } from './shell/shell.js';

const cli = meow(
  `
  Usage
    $ query-shell -r REGISTRY             a shell
    $ query-shell -r REGISTRY "QUERY"     one query, for scripts

  Flags
    --registry, -r   IP:port of a registry's door; repeat it or part by commas (SWITCHWHEEL_REGISTRY)
    --json           one JSON object a result
    --timeout MS     how long to wait for each process (1500)
    --history FILE   keep the shell's history there

  Exit codes
    0  answered    1  no registry answers    2  wrong use or a wrong query

${helpText
  .split('\n')
  .map((one) => `  ${one}`)
  .join('\n')}
`,
  {
    importMeta: import.meta,
    description: 'A shell for queries on the state of a switchwheel fleet. It only reads.',
    version: '0.1.0',
    flags: {
      registry: { type: 'string', isMultiple: true, shortFlag: 'r' },
      json: { type: 'boolean', default: false },
      timeout: { type: 'number', default: 1500 },
      history: { type: 'string' },
    },
  },
);

const exitWithWrongUse = (message: string): never => {
  process.stderr.write(`query-shell: ${message}\n`);
  process.exit(2);
};
const odd = Object.keys(cli.flags).find(
  (name) => !['registry', 'r', 'json', 'timeout', 'history'].includes(name),
);
if (odd !== undefined) exitWithWrongUse(`--${odd}: no such flag`);
const given =
  (cli.flags.registry ?? []).length > 0
    ? (cli.flags.registry ?? [])
    : [process.env['SWITCHWHEEL_REGISTRY'] ?? ''];
const names = given
  .flatMap((one) => one.split(','))
  .map((one) => one.trim())
  .filter((one) => one !== '');
const wrong = names.find((one) => !isAddress(one));
if (wrong !== undefined) exitWithWrongUse(`--registry ${wrong}: an IP number and a port`);
const registries = names.filter(isAddress);
if (registries.length === 0) exitWithWrongUse('--registry: name at least one registry');
if (!(cli.flags.timeout > 0)) exitWithWrongUse('--timeout: milliseconds');
const target = { registries, timeoutMs: cli.flags.timeout, asJson: cli.flags.json };

const line = cli.input.join(' ').trim();
if (line === '') await runShell(target, cli.flags.history);
else {
  const query = readQuery(line);
  if (query.isErr) exitWithWrongUse(query.error);
  const stop = new AbortController();
  process.on('SIGINT', () => stop.abort());
  const answered = await runAndFollow(line, target, stop.signal, (text) =>
    process.stdout.write(`${text}\n`),
  );
  process.exitCode = answered ? 0 : 1;
}
