import { spawn } from 'node:child_process';
import { once } from 'node:events';
import t from 'tap';
import { request } from 'undici';
import { getStandinFile, startProcess } from './startProcess.js';

const isReachable = async (url: string): Promise<boolean> => {
  try {
    await (await request(`${url}/v1/status`)).body.dump();
    return true;
  } catch {
    return false;
  }
};

t.test('a process outlives no test, even one that was ended by SIGKILL', async (t2) => {
  const moduleUrl = new URL('./startProcess.js', import.meta.url).href;
  const script = `
    const { getStandinFile, startProcess } = await import(${JSON.stringify(moduleUrl)});
    const engine = await startProcess(getStandinFile('engine'));
    process.stdout.write(engine.url());
    setInterval(() => undefined, 1_000);`;
  const parent = spawn(process.execPath, ['--input-type=module', '--eval', script], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [output] = (await once(parent.stdout, 'data')) as [Buffer];
  t2.ok(await isReachable(output.toString()));
  parent.kill('SIGKILL');
  while (await isReachable(output.toString()));
  t2.notOk(await isReachable(output.toString()));
});

t.test('a program that does not start fails the test instead of hanging it', async (t2) => {
  await t2.rejects(startProcess(getStandinFile('engine'), { stepMs: 'no number' }));
});
