/*!
Tests of an instance as a process under crowds of clients that do not behave.

Each test starts one process on a machine with little memory and few file descriptors, opens a crowd of
connections that stay open, and checks that the process lives, that what it holds stays within the machine, and
that an ordinary client is still served. Tests run one at a time.
*/

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod bodies;
#[allow(dead_code, reason = "shared with the tests of single instances")]
#[path = "../serve/cluster.rs"]
mod cluster;
mod connections;
mod crowd;
mod machine;
#[allow(dead_code, reason = "shared with the tests of single instances")]
#[path = "../serve/process.rs"]
mod process;
