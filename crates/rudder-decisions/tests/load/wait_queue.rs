//! A burst of reads with orders among them, before few connections.

use rudder_decisions::WaitQueue;

/// Priorities of the two kinds of work.
const ORDER: u8 = 0;
const READ: u8 = 2;

/// Reads that arrive in one millisecond, and the connections that come free in each.
const BURST: u32 = 400;
const FREED: u32 = 2;

/// Plays the burst, with an order after each twentieth read; returns for each work, in the order of
/// their arrival, the millisecond in which it was served, orders and reads apart.
fn play(priority_of_orders: u8) -> (Vec<u32>, Vec<u32>) {
    let mut queue = WaitQueue::default();
    for number in 0..BURST {
        queue.join(READ, (READ, number));
        if number % 20 == 19 {
            queue.join(priority_of_orders, (ORDER, number));
        }
    }
    let (mut orders, mut reads) = (Vec::new(), Vec::new());
    let mut served = 0;
    while let Some((kind, number)) = queue.next() {
        let of_kind = if kind == ORDER { &mut orders } else { &mut reads };
        of_kind.push((number, served / FREED));
        served += 1;
    }
    let in_order = |mut entries: Vec<(u32, u32)>| -> Vec<u32> {
        entries.sort_unstable();
        entries.into_iter().map(|(_, millisecond)| millisecond).collect()
    };
    (in_order(orders), in_order(reads))
}

#[test]
fn orders_do_not_wait_behind_a_burst_of_reads() {
    // A director submits an order as a rehearsal week's lookups come in. Served as they came, the
    // last order waits for all four hundred reads.
    let (first_come, _) = play(READ);

    let (orders, reads) = play(ORDER);

    assert_eq!(first_come.iter().max(), Some(&209));
    assert_eq!(orders.iter().max(), Some(&9));
    assert_eq!(reads.iter().max(), Some(&209), "the reads' last one waits no longer");
}

#[test]
fn equal_ones_are_served_as_they_came() {
    let (orders, reads) = play(ORDER);

    assert!(orders.is_sorted() && reads.is_sorted());
}
