//! The limits of a machine and of what clients may hold of it.

/// Memory of an open connection without a request: its task and its socket.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Memory of a connection with a request, or with a part of one: the buffers for its head and its socket.
pub const ACTIVE_BYTES: usize = 128 << 10;
/// Bodies up to this size may use all of the memory.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// A connection that has waited for its client for this long gives way to others.
pub const STALL_MS: u64 = 500;
/// A connection between two requests gives way after this time.
pub(super) const IDLE_MS: u64 = 1_000;
/// How long a body waits for memory: in this time, connections that stall can be told from others.
pub const MAX_WAIT_MS: u64 = 2 * STALL_MS;

/// Memory of the process that does not depend on clients.
const PROCESS_BYTES: usize = 32 << 20;
/// One part in so many of the machine is left to the allocator and to transfers in progress.
const MARGIN_DIVISOR: usize = 8;
/// Descriptors that the platform reserves for files.
const RESERVED_FDS: u64 = 200;
/// The smallest limits, for machines that are too small for the above.
const MIN_BYTES: usize = 8 << 20;
const MIN_CONNECTIONS: usize = 16;

/// What clients may hold together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Memory.
    pub total_bytes: usize,
    /// The part of it that requests with large bodies may use.
    pub large_bytes: usize,
    /// Open connections.
    pub connections: usize,
}

impl Limits {
    /// Returns the limits on a machine with `memory_mb` of memory, on which the process may open `max_fds`
    /// descriptors. Half of these are left to connections to backend servers and to other instances.
    pub fn of_machine(memory_mb: u64, max_fds: u64) -> Limits {
        let machine_bytes = usize::try_from(memory_mb << 20).unwrap_or(usize::MAX);
        let own_bytes = PROCESS_BYTES + machine_bytes / MARGIN_DIVISOR;
        let total_bytes = machine_bytes.saturating_sub(own_bytes).max(MIN_BYTES);
        let connections = usize::try_from(max_fds.saturating_sub(RESERVED_FDS) / 2);
        Limits {
            total_bytes,
            large_bytes: total_bytes / 4 * 3,
            connections: connections.unwrap_or(usize::MAX).max(MIN_CONNECTIONS),
        }
    }

    /// Returns the limits under which one body of `body_bytes` can be served, if the machine has the memory.
    pub fn with_largest_body(self, body_bytes: usize) -> Limits {
        let needed_bytes = body_bytes.saturating_add(CONNECTION_BYTES + ACTIVE_BYTES);
        Limits { large_bytes: self.large_bytes.max(needed_bytes).min(self.total_bytes), ..self }
    }
}
