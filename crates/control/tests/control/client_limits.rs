//! How much of a box clients may take up.

use ospreywing_control::{BoxSize, ClientLimits};
use rstest::rstest;

#[rstest]
#[case::smallest_box(120, 2875, 610, 152, 457)]
#[case::small_box(260, 4000, 1322, 330, 991)]
#[case::large_box(1024, 16_184, 5208, 1302, 3906)]
#[case::few_sockets(1024, 128, 48, 12, 3906)]
#[case::tiny_box(1, 1, 16, 4, 64)]
fn of_box_limits(
    #[case] memory_mb: u64,
    #[case] sockets_count: u32,
    #[case] connections_count: usize,
    #[case] handled_count: usize,
    #[case] body_segments_count: usize,
) {
    let limits = ClientLimits::of_box(BoxSize {
        memory_bytes: memory_mb * 1_000_000,
        sockets_count,
    });
    assert_eq!(limits.connections_count, connections_count);
    assert_eq!(limits.handled_count, handled_count);
    assert_eq!(limits.body_segments_count, body_segments_count);
}
