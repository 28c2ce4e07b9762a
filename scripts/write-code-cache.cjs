// Writes the compiled code of a bundled program to `<program>.code`, with the functions that its modules call while they
// are evaluated. The program itself ends before it finds settings.
const { readFileSync, writeFileSync } = require('node:fs');
const { wrap } = require('node:module');
const { dirname } = require('node:path');
const { Script } = require('node:vm');

const [, , filename] = process.argv;
const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename });
script.runInThisContext()(exports, require, module, filename, dirname(filename));
writeFileSync(`${filename}.code`, script.createCachedData());
process.exit(0);
