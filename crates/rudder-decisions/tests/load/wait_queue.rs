//! Queue for connections during a burst of reads with a few orders of higher priority.

use rudder_decisions::WaitQueue;

/// Priorities of the two kinds of requests; the lower number is served first.
const ORDER: u8 = 0;
const READ: u8 = 2;

/// Reads that arrive at the start, and connections that become free in each millisecond.
const READ_COUNT: u32 = 400;
const CONNECTIONS_FREED_PER_MS: u32 = 2;

/// Queues the burst with an order after each twentieth read. Returns the milliseconds in which
/// orders and reads were served, each in order of arrival.
fn serve_burst(order_priority: u8) -> (Vec<u32>, Vec<u32>) {
    let mut queue = WaitQueue::default();
    for number in 0..READ_COUNT {
        queue.push(READ, (READ, number));
        if number % 20 == 19 {
            queue.push(order_priority, (ORDER, number));
        }
    }
    let (mut orders, mut reads) = (Vec::new(), Vec::new());
    let mut served = 0;
    while let Some((kind, number)) = queue.pop() {
        let served_of_kind = if kind == ORDER { &mut orders } else { &mut reads };
        served_of_kind.push((number, served / CONNECTIONS_FREED_PER_MS));
        served += 1;
    }
    let milliseconds = |mut entries: Vec<(u32, u32)>| -> Vec<u32> {
        entries.sort_unstable();
        entries.into_iter().map(|(_, millisecond)| millisecond).collect()
    };
    (milliseconds(orders), milliseconds(reads))
}

#[test]
fn orders_do_not_wait_behind_a_burst_of_reads() {
    // In order of arrival the last order waits for all four hundred reads.
    let (equal_priority_orders, _) = serve_burst(READ);

    let (orders, reads) = serve_burst(ORDER);

    assert_eq!(equal_priority_orders.iter().max(), Some(&209));
    assert_eq!(orders.iter().max(), Some(&9));
    assert_eq!(reads.iter().max(), Some(&209), "the last read does not wait longer");
}

#[test]
fn waiters_of_equal_priority_are_served_in_arrival_order() {
    let (orders, reads) = serve_burst(ORDER);

    assert!(orders.is_sorted() && reads.is_sorted());
}
