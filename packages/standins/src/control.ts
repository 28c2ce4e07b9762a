import { request } from 'undici';
import type { StartedProcess } from './startProcess.js';

type Controlled = Pick<StartedProcess, 'url'>;

const checkStatus = (path: string, statusCode: number): void => {
  if (statusCode >= 300) throw new Error(`${path} was answered with ${statusCode}`);
};

/** Sends a control call with a JSON body to a stand-in. */
export const sendControl = async (
  standin: Controlled,
  method: 'POST' | 'PUT',
  path: string,
  body: object,
): Promise<void> => {
  const response = await request(`${standin.url()}${path}`, { method, body: JSON.stringify(body) });
  await response.body.dump();
  checkStatus(path, response.statusCode);
};

/**
 * Replaces the faults of a stand-in; an empty object ends all of them.
 *
 * @example
 * await applyFaults(platform, { table: 'lost_answers' });
 */
export const applyFaults = async (standin: Controlled, faults: object): Promise<void> =>
  sendControl(standin, 'POST', '/control/faults', faults);

/** Reads a JSON document of a stand-in, such as `/control/runs`. */
export const readControl = async (standin: Controlled, path: string): Promise<unknown> => {
  const response = await request(`${standin.url()}${path}`);
  const body = await response.body.json();
  checkStatus(path, response.statusCode);
  return body;
};
