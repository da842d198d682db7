import {create} from '@bufbuild/protobuf';
import {SnapshotSchema, type Snapshot} from '../../gen/sniperidge/v1/peer_pb.js';
import {Config} from '../decide/config.js';

/** Encodes a whole configuration as a message. */
export function encodeSnapshot(config: Config): Snapshot {
	return create(SnapshotSchema, {
		version: config.version,
		rows: config.toRows().map(row => ({
			table: row.table, key: row.key, value: JSON.stringify(row.value), version: row.version,
		})),
	});
}

/** Decodes a whole configuration from a message. Throws `SyntaxError` when a value is not JSON. */
export function decodeSnapshot(snapshot: Snapshot): Config {
	const rows = snapshot.rows.map(row => ({
		table: row.table, key: row.key, value: JSON.parse(row.value) as unknown, version: row.version, created: row.version,
	}));
	return Config.empty.apply(rows, snapshot.version);
}
