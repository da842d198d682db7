import {request} from 'undici';

/** Answer is what a server said to a command: the status, the numbered result if any, and the body. */
export type Answer = {status: number; result: number | undefined; etag: string | undefined; body: unknown};

/** Asking is one request of a command. */
export type Asking = {method: 'GET' | 'PUT' | 'DELETE' | 'POST'; url: string; token: string | undefined; headers?: Record<string, string>; body?: string | Uint8Array};

/** Sends one request. Resolves to nothing when no answer came. */
export async function ask({method, url, token, headers, body}: Asking): Promise<Answer | undefined> {
	try {
		const reply = await request(url, {
			method,
			body,
			headers: {...headers, ...(token ? {authorization: `Bearer ${token}`} : {}), ...(body === undefined ? {} : {'content-type': 'application/json'})},
		});
		const text = await reply.body.text();
		const parsed: unknown = text === '' ? undefined : JSON.parse(text);
		const result = reply.headers['sniperidge-result'];
		return {
			status: reply.statusCode,
			result: result === undefined ? undefined : Number(result),
			etag: reply.headers.etag === undefined ? undefined : String(reply.headers.etag),
			body: parsed,
		};
	} catch {
		return undefined;
	}
}
