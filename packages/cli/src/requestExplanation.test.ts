import t from 'tap';
import { explainRequest, type LogEvent, parseLogLine } from './requestExplanation.js';

const LOG = [
  '{"time":100,"node":"a","event":"endpoint_removed","endpoint":"i-9"}',
  'output of another program',
  '  9.1 b {"time":5200,"node":"b","event":"order_ordered","endpoint":"i-1"}',
  '{"time":5900,"node":"a","event":"store_lost","table":"op"}',
  '{"time":6000,"node":"a","event":"placed","request":"r-1","endpoint":"i-1"}',
  '{"time":6000,"node":"a","event":"placed","request":"r-2","endpoint":"i-1"}',
  '{"time":7000,"node":"b","event":"store_lost","table":"op"}',
  '{"time":7300,"node":"a","event":"ended","request":"r-1","endpoints":["i-1"],"totalMs":1300}',
  '{"time":9000,"node":"a","event":"store_regained","table":"op"}',
];

t.test(
  'an explanation contains only events of the request and state changes of its nodes and endpoints',
  async (test) => {
    const lines = LOG.map(parseLogLine).filter((line): line is LogEvent => line !== undefined);
    test.equal(lines.length, LOG.length - 1);
    const { steps, context } = explainRequest([...lines].reverse(), 'r-1');
    test.same(
      steps.map(({ event }) => event),
      ['placed', 'ended'],
    );
    test.same(
      context.map(({ time, event }) => [time, event]),
      [
        [5_200, 'order_ordered'],
        [5_900, 'store_lost'],
      ],
    );
    test.same(explainRequest(lines, 'r-3'), { steps: [], context: [] });
  },
);
