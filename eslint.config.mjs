import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import globals from 'globals';

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', '**/generated/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    languageOptions: { globals: globals.node },
    rules: {
      // The house style asks for named exports and index files.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      // A task for a connection or peer is written straight down, as a loop that awaits.
      'no-await-in-loop': 'off',
      // The public function comes first in a file and its steps below it.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      'no-continue': 'off',
      // The compiler checks that a switch handles every member of a union and returns.
      'consistent-return': 'off',
      'default-case': 'off',
      // The methods of streams that Node.js calls.
      'no-underscore-dangle': [
        'error',
        { allow: ['_read', '_write', '_final', '_destroy', '_transform'] },
      ],
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
    },
  },
  {
    files: ['scripts/**'],
    rules: {
      'no-console': 'off',
      // The scripts build the product and are no part of it.
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
];
