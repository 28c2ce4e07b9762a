// Bundles the gateway for deployment into target/, from sources, so that nothing else has to be built.
import { execFileSync } from 'node:child_process';
import { copyFileSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { dirname, join } from 'node:path';
import { build } from 'esbuild';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const target = join(root, 'target');

/** Returns the options with which the deployment starts Node.js; V8 rejects code that was compiled with others. */
const readNodeOptions = () => {
  const [, words] = /^run = "node (.*)"$/m.exec(
    readFileSync(join(root, 'deploy/system.toml'), 'utf8'),
  );
  return words.split(' ').filter((word) => word.startsWith('--'));
};

const workspacePlugin = {
  name: 'workspace',
  setup({ onResolve }) {
    onResolve({ filter: /^@lovagearch\// }, ({ path }) => ({
      path: join(root, 'packages', path.split('/')[1], 'src', 'index.ts'),
      // Modules of the workspace only define things, so unused ones and their libraries are left out.
      sideEffects: false,
    }));
    // Each package has its own copy of undici, as a development tool holds an older one at the root.
    onResolve({ filter: /^undici$/ }, () => ({
      path: join(root, 'scripts/undici-subset.cjs'),
    }));
    onResolve({ filter: /^@fastify\/(ajv|fast-json-stringify)-compiler$/ }, () => ({
      path: join(root, 'scripts/no-schemas.cjs'),
    }));
    // No listener or client speaks HTTP/2, and loading the module of Node.js takes a tenth of the time of a start.
    onResolve({ filter: /^(node:)?http2$/ }, () => ({
      path: join(root, 'scripts/no-http2.cjs'),
    }));
    // The codec works without its native part, whose loader reads the binary of Node.js first.
    onResolve({ filter: /^msgpackr-extract$/ }, () => ({
      path: join(root, 'scripts/no-native-codec.cjs'),
    }));
  },
};

await build({
  entryPoints: { program: join(root, 'platform/src/main.ts') },
  outdir: target,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // A process that restarts reads its whole program first; names stay, so that stacks can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
  plugins: [workspacePlugin],
});

// The entry point runs the program with the code that V8 compiles here.
copyFileSync(join(root, 'scripts/start-program.cjs'), join(target, 'lovagearch-gateway.cjs'));
execFileSync(
  process.execPath,
  [...readNodeOptions(), join(root, 'scripts/write-code-cache.cjs'), join(target, 'program.cjs')],
  { stdio: ['ignore', 'ignore', 'inherit'] },
);
