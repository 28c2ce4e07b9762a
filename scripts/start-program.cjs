// Runs the bundled program beside this file with the code that V8 compiled at build time, as compiling takes a restarted
// process a good part of its first processor time. V8 ignores the code if its version or options differ.
const { readFileSync } = require('node:fs');
const { wrap } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const filename = join(__dirname, 'program.cjs');

const readCode = () => {
  try {
    return readFileSync(`${filename}.code`);
  } catch {
    return undefined;
  }
};

const script = new Script(wrap(readFileSync(filename, 'utf8')), {
  filename,
  cachedData: readCode(),
});
script.runInThisContext()(module.exports, require, module, filename, __dirname);
