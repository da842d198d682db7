import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {rankByRendezvous} from '../src/decide/rendezvous.js';
import {AddressBook} from '../src/ephemeral/address-book.js';
import {Links, type Link, type Receiver} from '../src/ephemeral/link.js';
import {waitUntil} from './ephemeral-cluster.js';

const receiver: Receiver = {
	receive: () => undefined,
	linkEnded: () => undefined,
	isNeeded: () => false,
};
const redialMs = 20;
const most = 3;

function links(t: ExecutionContext, over: (link: Link) => void = () => undefined): Links {
	const made = Links.create(systemClock, {...receiver, linkEnded: over});
	t.teardown(() => {
		made.close();
	});
	return made;
}

/** Opens so many listeners. Resolves to where they listen, in the order in which the book wants them. */
async function listen(t: ExecutionContext, count: number): Promise<Map<string, Links>> {
	const found = new Map<string, Links>();
	for (let index = 0; index < count; index++) {
		const one = links(t);
		found.set(await one.listen('127.0.0.1:0'), one);
	}

	return new Map(rankByRendezvous('s', [...found.keys()]).map(address => [address, found.get(address)!]));
}

/** Opens a book that wants the first three, and keeps the links beyond them. */
function open(t: ExecutionContext, addresses: readonly string[]): {book: AddressBook; beyond(): readonly Link[]} {
	let rest: readonly Link[] = [];
	const book: AddressBook = AddressBook.create({
		clock: systemClock,
		links: links(t, link => {
			book.linkEnded(link);
		}),
		redialMs,
		subset: {
			maxLinks: most,
			rank: some => rankByRendezvous('s', some),
			onSurplusLinks(more) {
				rest = more;
			},
		},
		ownAddress: () => undefined,
		onLinkOpened: () => undefined,
	});
	book.add(addresses);
	book.open();
	t.teardown(() => {
		book.close();
	});
	return {book, beyond: () => rest};
}

test('book: links go to the first of the order, and to no others', async t => {
	const listeners = await listen(t, 6);
	const addresses = [...listeners.keys()];
	const {book} = open(t, addresses);
	await waitUntil(() => book.linkedAddresses.length === most);
	await systemClock.sleep(5 * redialMs);
	t.deepEqual(book.linkedAddresses.toSorted(), addresses.slice(0, most).toSorted());
});

test('book: the next in order stand in for those that cannot be reached, and are beyond it once these return', async t => {
	const listeners = await listen(t, 6);
	const addresses = [...listeners.keys()];
	for (const address of addresses.slice(0, most)) {
		listeners.get(address)!.close();
	}

	const {book, beyond} = open(t, addresses);
	await waitUntil(() => book.linkedAddresses.length === most);
	t.deepEqual(book.linkedAddresses.toSorted(), addresses.slice(most).toSorted());
	await links(t).listen(addresses[0]!);
	await waitUntil(() => book.linkedAddresses.length === most + 1);
	await waitUntil(() => beyond().length === 1);
	t.true(book.linkedAddresses.includes(addresses[0]!));
	t.true(beyond()[0]!.isOpen);
});

// Guards against a job that is said to be unknown while the entry that holds it is cut off: a refusal from before its link says nothing about the time after.
test('book: an address that refused a connection, was linked from the other side and is cut off may have a process', async t => {
	const [address, other] = [...(await listen(t, 2)).entries()];
	address![1].close();
	const {book} = open(t, [address![0]]);
	await waitUntil(() => !book.hasSilentAddress);
	const link = await links(t).dial(other![0]);
	book.accept(address![0], link!);
	book.linkEnded(link!);
	t.true(book.hasSilentAddress);
	await waitUntil(() => !book.hasSilentAddress);
});
