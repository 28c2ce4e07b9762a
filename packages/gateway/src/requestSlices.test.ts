import t from 'tap';
import { findSliceEnd, type RequestPhase } from './requestSlices.js';

const HEAD = 'GET / HTTP/1.1\r\na: b\r\n\r\n';

const cut = (text: string, phase: RequestPhase): string =>
  text.slice(0, findSliceEnd(Buffer.from(text), phase));

// Guards against a read of 64 KB that is parsed into hundreds of requests at once.
t.test('requests sent ahead are handed over one at a time', async (t2) => {
  t2.equal(cut(HEAD.repeat(3), { type: 'head' }), HEAD);
  t2.equal(cut(HEAD.replaceAll('\r', '').repeat(3), { type: 'head' }), HEAD.replaceAll('\r', ''));
  t2.equal(cut(`1234${HEAD}`, { type: 'length', remainingBytes: 4 }), '1234');
  t2.equal(cut(`2\r\nab\r\n0\r\n\r\n${HEAD}`, { type: 'chunks' }), '2\r\nab\r\n0\r\n\r\n');
  t2.equal(cut(`0\r\nt: 1\r\n\r\n${HEAD}`, { type: 'chunks' }), '0\r\nt: 1\r\n\r\n');
});

// Guards against a head or a body that is never handed over as its end hasn't come.
t.test('incomplete heads and bodies are handed over', async (t2) => {
  t2.equal(cut('GET / HTTP/1.1\r\na:', { type: 'head' }), 'GET / HTTP/1.1\r\na:');
  t2.equal(cut('1234', { type: 'length', remainingBytes: 9 }), '1234');
  t2.equal(cut('2\r\na', { type: 'chunks' }), '2\r\na');
});
