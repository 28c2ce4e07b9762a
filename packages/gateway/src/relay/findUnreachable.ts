import type { RoutedRequest } from '../createAttempt.js';
import type { GatewayContext } from '../gatewayContext.js';
import { type PlacementResult, placeRequest } from '../placeRequest.js';

/** Whether lost links alone keep a request from some endpoint, and no other may take it. */
export const isUnreachable = (result: PlacementResult | undefined): boolean =>
  result?.type === 'none' && (result.counts.unreachable ?? 0) > 0;

/** Whether this node can't reach any endpoint that could take a request. */
export const isServiceUnreachable = (
  context: GatewayContext,
  { head, route, service, account }: RoutedRequest,
): boolean =>
  context.links.hasLost &&
  isUnreachable(placeRequest(context, head, route, service, account, { excluded: new Set() }));
