import t from 'tap';
import {
  checkHistories,
  findAnswerViolation,
  findBlockViolation,
  findIsolationViolation,
  findVersionViolation,
} from './historyCheckers.js';
import { type HistoryDecision, type HistoryEvent, parseHistory } from './historyLines.js';

const toEvents = (request: string, decisions: readonly HistoryDecision[]): HistoryEvent[] =>
  decisions.map((decision) => ({ request, decision }));

const accepted = (account: string): HistoryDecision => ({ type: 'accepted', account });

const chosen = (streamId: string, weightVersion = 'v1', tag?: string): HistoryDecision => ({
  type: 'chosen',
  endpoint: 'runner-1',
  streamId,
  weightVersion,
  ...(tag === undefined ? {} : { segment: { tag, depth: 4 } }),
});

const verified = (streamId: string, tokens: number, importedTokens = 0): HistoryDecision => ({
  type: 'verified',
  streamId,
  tokens,
  cachedTokens: 0,
  importedTokens,
});

const completed: HistoryDecision = { type: 'completed', status: 200, detail: 'whole answer' };
const continued = (offset: number): HistoryDecision => ({
  type: 'continued',
  endpoint: 'runner-2',
  offset,
});

const GOOD = [accepted('zamu'), chosen('s1', 'v1', 'aa'), continued(3), verified('s1', 9, 256)];

t.test('accepts a history that keeps all promises', async (test) => {
  const events = toEvents('a', [...GOOD, completed]);
  test.equal(findBlockViolation(events), undefined);
  test.equal(findIsolationViolation(events), undefined);
  test.equal(findVersionViolation(events), undefined);
  test.equal(findAnswerViolation(events), undefined);
});

t.test('finds an import without a segment and one beyond its depth', async (test) => {
  const without = toEvents('a', [chosen('s1'), verified('s1', 9, 64)]);
  test.match(findBlockViolation(without), { type: 'import_not_offered', request: 'a' });
  const beyond = toEvents('b', [chosen('s1', 'v1', 'aa'), verified('s1', 9, 320)]);
  test.match(findBlockViolation(beyond), { type: 'import_too_deep' });
});

t.test('finds a stream or segment that serves two accounts', async (test) => {
  const first = toEvents('a', [accepted('zamu'), chosen('s1', 'v1', 'aa')]);
  const sameSegment = toEvents('b', [accepted('rota'), chosen('s2', 'v1', 'aa')]);
  test.match(findIsolationViolation([...first, ...sameSegment]), {
    type: 'segment_of_other_account',
    request: 'b',
  });
  const sameStream = toEvents('b', [
    accepted('rota'),
    { type: 'resumed', endpoint: 'runner-1', streamId: 's1', afterSeq: 2 },
  ]);
  test.match(findIsolationViolation([...first, ...sameStream]), {
    type: 'stream_of_other_account',
  });
});

t.test('finds an answer of two versions and a segment of another version', async (test) => {
  const mixed = toEvents('a', [chosen('s1', 'v1'), chosen('s2', 'v2')]);
  test.match(findVersionViolation(mixed), { type: 'version_changed' });
  const replanned: HistoryDecision = { type: 'replanned' };
  const late = toEvents('a', [chosen('s1', 'v1'), continued(3), replanned, chosen('s2', 'v2')]);
  test.match(findVersionViolation(late), { type: 'version_changed' });
  const early = toEvents('a', [chosen('s1', 'v1'), replanned, chosen('s2', 'v2')]);
  test.equal(findVersionViolation(early), undefined, 'no runner took the request at v1');
  const first = toEvents('a', [chosen('s1', 'v1', 'aa')]);
  const old = toEvents('b', [chosen('s2', 'v2', 'aa')]);
  test.match(findVersionViolation([...first, ...old]), { type: 'segment_of_other_version' });
});

t.test('finds answers that end twice, unverified, or go back', async (test) => {
  test.match(findAnswerViolation(toEvents('a', [chosen('s1'), completed])), {
    type: 'completed_unverified',
  });
  test.match(findAnswerViolation(toEvents('a', [...GOOD, completed, completed])), {
    type: 'ended_twice',
  });
  test.match(findAnswerViolation(toEvents('a', [continued(5), continued(3)])), {
    type: 'went_back',
  });
});

t.test('guards against a history with missing lines that passes as whole', async (test) => {
  const line = (dropped: number) =>
    `${JSON.stringify({ requestId: 'r', atMs: 1, decision: accepted('zamu'), dropped })}\n`;
  test.throws(() => parseHistory('entry-1', line(1)), { name: 'HistoryError' });
  test.throws(() => parseHistory('entry-1', `{"cut\n${line(0)}`), { name: 'HistoryError' });
  test.equal(parseHistory('entry-1', `${line(0)}{"cut`).length, 1, 'a killed writer cuts a line');
  const again = parseHistory('entry-1', line(0) + line(0)).map(({ request }) => request);
  test.not(again[0], again[1], 'a request id that comes again is another request');
  test.doesNotThrow(() => checkHistories(new Map([['entry-1', line(0)]])));
});
