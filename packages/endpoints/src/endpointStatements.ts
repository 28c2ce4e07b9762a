import { EndpointBrittleness } from './brittleness/endpointBrittleness.js';
import { RejectionBudget } from './brittleness/rejectionBudget.js';
import { EndpointColdness } from './coldness.js';
import { LeavingNotice } from './leavingNotice.js';
import { RequestHold } from './requestHold.js';
import { RequestRateLimit } from './requestRateLimit.js';

/**
 * What one start of an endpoint has said about itself in responses. It belongs to the process and not to its
 * registration, which can lapse and be renewed while the process runs.
 */
export class EndpointStatements {
  readonly rateLimit = RequestRateLimit.create();

  readonly leaving = LeavingNotice.create();

  readonly hold = RequestHold.create();

  readonly coldness = EndpointColdness.create();

  readonly brittleness = EndpointBrittleness.create();

  readonly rejections = RejectionBudget.create();

  static create(): EndpointStatements {
    return new EndpointStatements();
  }
}
