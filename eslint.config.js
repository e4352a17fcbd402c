import { createNodeResolver, importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Maximum length of a function in lines, without blank lines and comments. */
const maxFunctionLines = 60;
/** Maximum cyclomatic complexity of a function; a switch counts as one path (variant `modified`). */
const maxComplexity = 20;

/** Exports that need a doc comment. */
const documentedExports = {
  publicOnly: true,
  require: {
    ArrowFunctionExpression: true,
    ClassDeclaration: true,
    FunctionDeclaration: true,
    FunctionExpression: true,
    MethodDefinition: false,
  },
  contexts: [
    'ExportNamedDeclaration > TSInterfaceDeclaration',
    'ExportNamedDeclaration > TSTypeAliasDeclaration',
    'ExportNamedDeclaration > VariableDeclaration',
  ],
  enableFixer: false,
};

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'packages/*/bin/**', 'eslint.config.js'] },
  ...tseslint.configs.strictTypeChecked,
  {
    plugins: { 'import-x': importX, jsdoc },
    settings: {
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
      'import-x/resolver-next': [
        createNodeResolver({
          extensions: ['.ts', '.js'],
          extensionAlias: { '.js': ['.ts', '.js'] },
        }),
      ],
    },
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-assertions': ['error', { assertionStyle: 'never' }],
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      '@typescript-eslint/no-unnecessary-condition': [
        'error',
        { allowConstantLoopConditions: true },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'typeLike', format: ['PascalCase'] },
        { selector: ['function', 'parameter'], format: ['camelCase'], leadingUnderscore: 'allow' },
        { selector: 'classMethod', format: ['camelCase'] },
      ],
      'import-x/no-cycle': ['error', { ignoreExternal: true }],
      complexity: ['error', { max: maxComplexity, variant: 'modified' }],
      eqeqeq: 'error',
      'object-shorthand': ['error', 'properties'],
      'prefer-const': 'error',
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/*.test.ts', '**/*.test-support.ts', '**/testing/**'],
    rules: {
      'jsdoc/require-jsdoc': ['error', documentedExports],
      'max-lines-per-function': [
        'error',
        { max: maxFunctionLines, skipBlankLines: true, skipComments: true, IIFEs: true },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    // Tests use many optional chains in assertions, and the rule counts each `?.` as a path.
    rules: { complexity: 'off' },
  },
);
