import type {
	BeatReply,
	BeatRequest,
	CancelReply,
	CancelRequest,
	CollectReply,
	CollectRequest,
	GreetReply,
	GreetRequest,
	JoinReply,
	JoinRequest,
	PrepareReply,
	PrepareRequest,
	PushReply,
	Snapshot,
	StartReply,
	StartRequest,
} from '../../gen/sniperidge/v1/peer_pb.js';

/** CallOptions limit one request between two processes. */
export type CallOptions = {timeoutMs: number; signal?: AbortSignal};

/** EntryPeer is the client of an entry, for sidecars and other entries. Methods reject when no reply arrives. */
export type EntryPeer = {
	beat(request: BeatRequest, call: CallOptions): Promise<BeatReply>;
	join(request: JoinRequest, call: CallOptions): Promise<JoinReply>;
	prepare(request: PrepareRequest, call: CallOptions): Promise<PrepareReply>;
	push(request: Snapshot, call: CallOptions): Promise<PushReply>;
};

/** SidecarPeer is the client of a sidecar, for entries. Methods reject when no reply arrives. */
export type SidecarPeer = {
	start(request: StartRequest, call: CallOptions): Promise<StartReply>;
	cancel(request: CancelRequest, call: CallOptions): Promise<CancelReply>;
	collect(request: CollectRequest, call: CallOptions): Promise<CollectReply>;
	greet(request: GreetRequest, call: CallOptions): Promise<GreetReply>;
};

/** Peers returns clients of other processes by address, with one persistent connection each. */
export type Peers = {
	entry(address: string): EntryPeer;
	sidecar(address: string): SidecarPeer;
	close(): void;
};
