/** Time limit for one call to a stand-in or an operators' listener, in milliseconds. */
const timeoutMilliseconds = 5_000;

/** Reads JSON from a stand-in or an operators' listener. */
export async function getJson<Value>(url: string): Promise<Value> {
  return exchangeJson(url, { method: 'GET' });
}

/** Sends JSON to a stand-in and gives its answer. */
export async function putJson<Value>(
  url: string,
  body: unknown,
  limitMilliseconds = timeoutMilliseconds,
): Promise<Value> {
  return exchangeJson(url, { method: 'PUT', body: JSON.stringify(body) }, limitMilliseconds);
}

/** Gives the status of an answer; 0 when there is none. */
export async function statusOf(url: string): Promise<number> {
  try {
    const answer = await fetch(url, { signal: AbortSignal.timeout(timeoutMilliseconds) });
    await answer.arrayBuffer();
    return answer.status;
  } catch {
    return 0;
  }
}

async function exchangeJson<Value>(
  url: string,
  init: RequestInit,
  limitMilliseconds = timeoutMilliseconds,
): Promise<Value> {
  const answer = await fetch(url, { ...init, signal: AbortSignal.timeout(limitMilliseconds) });
  const body = await answer.text();
  if (!answer.ok) throw new Error(`${init.method} ${url}: status ${answer.status}: ${body}`);
  return JSON.parse(body) as Value;
}
