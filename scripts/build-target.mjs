// Bundles the gateway for deployment into target/, from sources, so that nothing else has to be built.
import { fileURLToPath } from 'node:url';
import { dirname, join } from 'node:path';
import { build } from 'esbuild';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

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
  },
};

await build({
  entryPoints: { 'lovagearch-gateway': join(root, 'platform/src/main.ts') },
  outdir: join(root, 'target'),
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
