//! How much of a box clients may take up.

use ospreywing_control::{BoxSize, ClientLimits};
use rstest::rstest;

#[rstest]
#[case::smallest_box(120, 2875, 305)]
#[case::small_box(260, 4000, 661)]
#[case::large_box(1024, 16_184, 2604)]
#[case::few_sockets(1024, 128, 32)]
#[case::tiny_box(1, 1, 16)]
fn of_box_connections(
    #[case] memory_mb: u64,
    #[case] sockets_count: u32,
    #[case] expected_count: usize,
) {
    let limits = ClientLimits::of_box(BoxSize {
        memory_bytes: memory_mb * 1_000_000,
        sockets_count,
    });
    assert_eq!(limits.connections_count, expected_count);
}
