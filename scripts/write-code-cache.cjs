// Writes the compiled code of a bundled program to `<program>.code`, with the functions that its modules call while they
// are evaluated. The program itself ends before it finds settings.
const { readFileSync, writeFileSync } = require('node:fs');
const { wrap } = require('node:module');
const { dirname } = require('node:path');
const { Script } = require('node:vm');

const [, , filename] = process.argv;
const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename });
script.runInThisContext()(module.exports, require, module, filename, dirname(filename));
writeFileSync(`${filename}.code`, script.createCachedData());
// The program waits for its settings.
// eslint-disable-next-line n/no-process-exit
process.exit(0);
