import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Airbnb rules, with the differences that docs/design.md (House style) lists. */
export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', '.tap/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  // Layout is prettier's, which is set to the Airbnb values.
  prettier,
  {
    rules: {
      // The house style asks for `for of` loops with early exits, which Airbnb forbids.
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use for of with Object.entries.' },
        { selector: 'LabeledStatement', message: 'Labels hide control flow.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
      ],
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      'no-bitwise': 'off',
      'no-plusplus': 'off',
      'no-console': 'error',
      'class-methods-use-this': 'off',
      // The house style asks for named exports.
      'import-x/prefer-default-export': 'off',
      // Node.js resolves ES modules by their full file name.
      'import-x/extensions': 'off',
    },
  },
  {
    files: ['**/*.test.ts', '**/*.mjs'],
    rules: {
      // Test tools are installed once, at the root of the workspace.
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
      'no-console': 'off',
      // Scripts run alone; blocking the event loop harms nothing.
      'n/no-sync': 'off',
    },
  },
  {
    files: ['scripts/*.cjs'],
    // They run alone, or before the program whose event loop they could block. The rule needs types, which they lack.
    rules: { 'n/no-sync': 'off' },
  },
];
