import {Command, Option} from 'clipanion';
import {exits} from './exits.js';

/** Points to the benches, which come with the source and not with the package. */
export class BenchCommand extends Command {
	static override paths = [['bench']];
	static override usage = Command.Usage({description: 'measure a scenario; run from a checkout as npm run bench -- SCENARIO'});

	rest = Option.Proxy();

	async execute(): Promise<number> {
		const place = new URL('../../bench/main.js', import.meta.url).href;
		const {main} = await import(place) as {main(words: readonly string[]): Promise<void>};
		await main(this.rest);
		return exits.done;
	}
}
