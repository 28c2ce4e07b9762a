import t from 'tap';
import type { Route } from '@lovagearch/traffic';
import type { RoutedRequest } from './createAttempt.js';
import { getAdmissionTargetMs } from './createOverloadRefusal.js';
import { CONFIGURATION } from './testGateway.js';

const TIME_LIMIT_MS = 20_000;

const createRequest = (routeName: string, lastEventId: number): RoutedRequest => {
  const route: Route | undefined = CONFIGURATION.routes.find(({ name }) => name === routeName);
  return { head: { lastEventId }, route } as unknown as RoutedRequest;
};

// Guards against streams that are lost after a restart of all nodes, when forecasts exceed the target of the first event.
t.test('a stream in progress is admitted by the patience of its caller', async (t2) => {
  t2.equal(getAdmissionTargetMs(createRequest('stream', 3), TIME_LIMIT_MS), 8_000);
  t2.equal(getAdmissionTargetMs(createRequest('stream', 0), TIME_LIMIT_MS), 2_000);
});

// Guards against callers that are admitted earlier than others by naming an event on a route that can't resume.
t.test('an event id on another route changes nothing', async (t2) => {
  t2.equal(getAdmissionTargetMs(createRequest('generate', 3), TIME_LIMIT_MS), 2_000);
  t2.equal(getAdmissionTargetMs(createRequest('read', 3), TIME_LIMIT_MS), 2_000);
});
