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

/** Call bounds one request between two processes. */
export type CallOptions = {timeoutMs: number; signal?: AbortSignal};

/** EntryPeer is an entry as its sidecars and the other entries call it. Methods reject when no reply came. */
export type EntryPeer = {
	beat(request: BeatRequest, call: CallOptions): Promise<BeatReply>;
	join(request: JoinRequest, call: CallOptions): Promise<JoinReply>;
	prepare(request: PrepareRequest, call: CallOptions): Promise<PrepareReply>;
	push(request: Snapshot, call: CallOptions): Promise<PushReply>;
};

/** SidecarPeer is a sidecar as entries call it. Methods reject when no reply came. */
export type SidecarPeer = {
	start(request: StartRequest, call: CallOptions): Promise<StartReply>;
	cancel(request: CancelRequest, call: CallOptions): Promise<CancelReply>;
	collect(request: CollectRequest, call: CallOptions): Promise<CollectReply>;
	greet(request: GreetRequest, call: CallOptions): Promise<GreetReply>;
};

/** Peers opens the other processes by address, each over one kept connection. */
export type Peers = {
	entry(address: string): EntryPeer;
	sidecar(address: string): SidecarPeer;
	close(): void;
};
