/**
 * Collects the names that leave a process: fields and literals of frames, HTTP bodies, stored rows, configurations and
 * settings, paths, header fields, flags, environment variables, exit codes and metrics.
 *
 *     node scripts/outer-names.js            prints them, one a line under a heading for each kind
 *     node scripts/outer-names.js --write    writes them to docs/design/outer-names.txt
 *
 * Schemas, metrics, paths and environment variables are read from the sources, what only a running program shows from
 * the fixtures that the tests of outer forms compare with.
 */
import { existsSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import ts from 'typescript';

/** Where the list is committed; `outer-names.test.js` compares it with what is collected. */
export const outerNamesFile = 'docs/design/outer-names.txt';

const schemaHeadings = [
  [/^packages\/transport\//, 'frames between processes'],
  [/^packages\/proxy\/.*shield/, 'frames between processes'],
  [
    /control-state|^packages\/(replicated-store|store)\/|^packages\/runtime\/src\/disk/,
    'stored data',
  ],
  [/settings|^packages\/devfleet\/src\/deployment/, 'settings and deploy files'],
  [/^packages\/configuration\/|config-schema/, 'configurations of operators'],
  [/./, 'HTTP bodies'],
];
const headingOf = (file) => schemaHeadings.find(([pattern]) => pattern.test(file))[1];

const isSource = (path) =>
  path.endsWith('.ts') &&
  !/\.d\.ts$|\.test\.ts$|test-support|\/testing\/|node_modules|\/dist\//.test(path);
const filesUnder = (folder, fits) =>
  readdirSync(folder, { recursive: true })
    .map((name) => `${folder}/${name}`)
    .filter(fits)
    .sort();

const names = new Map();
const add = (heading, name) => {
  if (name === undefined || !/\w/.test(name)) return;
  names.set(heading, (names.get(heading) ?? new Set()).add(String(name)));
};

const schemaObjects = new Set(['object', 'strictObject', 'looseObject']);
const propertyName = (node) =>
  node.name && (ts.isIdentifier(node.name) || ts.isStringLiteralLike(node.name))
    ? node.name.text
    : undefined;
const literalText = (node) => {
  if (node === undefined) return undefined;
  if (ts.isStringLiteralLike(node) || ts.isNumericLiteral(node)) return node.text;
  return undefined;
};

/** Literals of an array, or of the constant of the same file that an identifier names. */
const literalsIn = (node, source) => {
  if (node === undefined) return [];
  if (ts.isAsExpression(node)) return literalsIn(node.expression, source);
  if (ts.isArrayLiteralExpression(node)) return node.elements.map(literalText);
  if (!ts.isIdentifier(node)) return [];
  for (const statement of source.statements) {
    if (!ts.isVariableStatement(statement)) continue;
    for (const declaration of statement.declarationList.declarations) {
      if (declaration.name.getText() === node.text && declaration.initializer !== undefined)
        return literalsIn(declaration.initializer, source);
    }
  }
  return [];
};

const readSchemaCall = (call, file, source) => {
  const { expression } = call;
  const isSchemaCall =
    ts.isPropertyAccessExpression(expression) && expression.expression.getText() === 'v';
  if (!isSchemaCall) return;
  const [first] = call.arguments;
  const kind = expression.name.text;
  const heading = headingOf(file);
  if (schemaObjects.has(kind) && first !== undefined && ts.isObjectLiteralExpression(first))
    for (const property of first.properties) add(heading, propertyName(property));
  if (kind === 'literal') add(heading, literalText(first));
  if (kind === 'variant') add(heading, literalText(first));
  if (kind === 'picklist') for (const text of literalsIn(first, source)) add(heading, text);
};

/** Words of the fixtures' own notation, and values that stand for any value. */
const notation = new Set(
  'array body boolean custom digest integer item items literal max_value min_value nullable number object optional picklist pipe regex requirement strict_object string tuple type variant wrapped'.split(
    ' ',
  ),
);
const isSampleValue = (word) =>
  /^([a-f])\1{31,}$/.test(word) || /\d/.test(word) || /\/./.test(word);

const pathPattern =
  /^\/(?:v1|api|state|live|ready|metrics|health|mood|revision|ran)(?:\/[\w/:-]*)?$/;
const variablePattern = /^[A-Z][A-Z0-9]*_[A-Z0-9_]+$/;

const readText = (text) => {
  if (pathPattern.test(text)) add('paths', text);
  if (/^SWITCHWHEEL_[A-Z_]+$/.test(text)) add('environment variables', text);
};

/** Names of counters in an expression; a template stands for all names that begin alike. */
const counterNames = (node) => {
  if (node === undefined) return [];
  if (ts.isTemplateExpression(node)) return [`${node.head.text}*`];
  if (ts.isConditionalExpression(node))
    return [...counterNames(node.whenTrue), ...counterNames(node.whenFalse)];
  return [literalText(node)];
};

const visit = (node, file, source) => {
  if (ts.isCallExpression(node)) {
    readSchemaCall(node, file, source);
    if (node.expression.getText() === 'metricSample') {
      const [name, , labels] = node.arguments;
      add('metrics and their labels', literalText(name) ?? name.getText().slice(1, -1));
      if (labels !== undefined && ts.isObjectLiteralExpression(labels))
        for (const label of labels.properties) add('metrics and their labels', propertyName(label));
    }
  }
  if (ts.isCallExpression(node) && node.expression.getText() === 'log') {
    for (const field of node.arguments.slice(2))
      if (ts.isArrayLiteralExpression(field))
        add('fields of log lines', literalText(field.elements[0]));
  }
  if (
    ts.isCallExpression(node) &&
    /(?:^|\.)(?:#?count|increment)$/.test(node.expression.getText())
  ) {
    const counter = node.arguments[node.expression.getText() === 'increment' ? 1 : 0];
    for (const name of counterNames(counter)) add('metrics and their labels', name);
  }
  if (ts.isPropertyAccessExpression(node) && node.expression.getText() === 'process.env')
    add('environment variables', node.name.text);
  if (
    ts.isElementAccessExpression(node) &&
    node.expression.getText() === 'process.env' &&
    literalText(node.argumentExpression) !== undefined
  )
    add('environment variables', literalText(node.argumentExpression));
  if (ts.isStringLiteralLike(node)) {
    readText(node.text);
    const isName = node.parent && ts.isVariableDeclaration(node.parent);
    if (
      isName &&
      /FileName$|Prefix$|Key$/.test(node.parent.name.getText()) &&
      /store|runtime|configuration/.test(file)
    )
      add('stored data', node.text);
    if (isName && variablePattern.test(node.text)) add('environment variables', node.text);
    if (
      ts.isPropertyAssignment(node.parent) &&
      /headerNames|HeaderNames/.test(node.parent.parent.parent.getText().split('=')[0])
    )
      add('header fields', node.text);
  }
  ts.forEachChild(node, (child) => visit(child, file, source));
};

const readSources = () => {
  const files = ['packages', 'platform'].flatMap((folder) => filesUnder(folder, isSource));
  for (const file of files) {
    const source = ts.createSourceFile(
      file,
      readFileSync(file, 'utf8'),
      ts.ScriptTarget.Latest,
      true,
    );
    visit(source, file, source);
  }
};

const fixtureRules = [
  [
    /devfleet\/fixtures\/command-line\.txt$/,
    'values of flags',
    /(?<=--cause NAME .*)[a-z]+(?:-[a-z]+)*(?=,|$)/gm,
  ],
  [/fixtures\/direct-counts\.txt$/, 'metrics and their labels', /^[a-z]\w+$/gm],
  [
    /fixtures\/.*(command|settings|refused|deploy)[^/]*\.txt$/,
    'flags',
    /(?<![\w-])--?[a-z][a-z-]*/g,
  ],
  [/fixtures\/.*command[^/]*\.txt$/, 'exit codes', /(?<=exit code )\d+/g],
  [
    /fixtures\/.*metrics[^/]*\.txt$/,
    'metrics and their labels',
    /\b(?:switchwheel_)?[a-z][a-z0-9_]*(?=[ {]|$)/gm,
  ],
  [/fixtures\/.*metrics[^/]*\.txt$/, 'metrics and their labels', /[a-z]+(?==")|(?<==")[^"]+/g],
  [
    /fixtures\/header-names\.txt$|platform\/fixtures\/names\.txt$/,
    'header fields',
    /[a-z]+(?:-[a-z]+)+|^labels$/gm,
  ],
  [
    /fixtures\/.*(http|control|admin|edge|direct|error|whole)[^/]*\.txt$/,
    'paths',
    /(?<=(?:GET|POST|PUT) )\/(?:v1|api|admin|live|ready|state|metrics)\b[\w/-]*/g,
  ],
  [/fixtures\/error-kinds\.txt$/, 'error kinds and reasons in responses', /^[a-z-]+/gm],
  [/fixtures\/(rows|loaded)\.json$/, 'stored data', /"[a-zA-Z][\w/:-]*"/g],
  [/fixtures\/stored-rows\.json$/, 'stored data', /"[a-zA-Z][\w/:-]*"/g],
  [/fixtures\/frame-schemas\.json$/, 'frames between processes', /"[a-zA-Z][\w/:-]*"/g],
  [
    /fixtures\/(views|fleet-view|admin-state|edge-state-keys)\.txt$/,
    'HTTP bodies',
    /"[a-zA-Z][\w-]*"(?=:)|^[a-z]\w*$/gm,
  ],
];

const fromSchemas = new Set(['frames between processes', 'stored data']);
const addFixtureWord = (heading, word) => {
  if (fromSchemas.has(heading) && (notation.has(word) || isSampleValue(word))) return;
  add(heading, word);
};

const readFixtures = () => {
  const files = ['packages', 'platform'].flatMap((folder) =>
    filesUnder(
      folder,
      (path) =>
        /\/fixtures\//.test(path) &&
        !/node_modules|\/dist\//.test(path) &&
        /\.(txt|json)$/.test(path),
    ),
  );
  for (const file of files) {
    for (const [pattern, heading, token] of fixtureRules) {
      if (!pattern.test(file)) continue;
      for (const [found] of readFileSync(file, 'utf8').matchAll(token))
        addFixtureWord(heading, found.replaceAll('"', ''));
    }
  }
  const deployFile = 'deploy/system.toml';
  if (!existsSync(deployFile)) return;
  for (const [key] of readFileSync(deployFile, 'utf8').matchAll(
    /^\s*[\w-]+(?=\s*=)|^\[+[\w.-]+\]+/gm,
  ))
    add('settings and deploy files', key.trim());
};

/** All outer names as text: a heading for each kind, and under it one name a line in the order of the alphabet. */
export const collectOuterNames = () => {
  names.clear();
  readSources();
  readFixtures();
  for (const field of ['at', 'level', 'program', 'node', 'text']) add('fields of log lines', field);
  const headings = [...names.keys()].sort();
  return headings
    .map((heading) => `# ${heading}\n${[...names.get(heading)].sort().join('\n')}\n`)
    .join('\n');
};

if (process.argv[1]?.endsWith('scripts/outer-names.js')) {
  const text = collectOuterNames();
  if (process.argv.includes('--write')) writeFileSync(outerNamesFile, text);
  else process.stdout.write(text);
}
