//! Report of the results, as JSON lines and as a table.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Number of significant digits that histograms keep.
const LATENCY_DIGITS: u8 = 3;

/// Maximum recorded latency; higher ones are recorded as this value.
const LATENCY_MAX: Duration = Duration::from_secs(60);

const NANOS_PER_MICRO: f64 = 1000.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Returns an empty histogram for latencies in nanoseconds.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    let highest = u64::try_from(LATENCY_MAX.as_nanos()).unwrap_or(u64::MAX);
    Histogram::new_with_max(highest, LATENCY_DIGITS).expect("the constants are in range")
}

/// Path from the client to the database group: directly or through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum PathKind {
    Direct,
    Proxy,
}

/// Figures of one path with one number of connections, summed over its runs.
#[derive(Debug)]
pub(crate) struct Measurement {
    path: PathKind,
    connections: usize,
    pub(crate) latency: Histogram<u64>,
    pub(crate) time: Duration,
    pub(crate) proxy_processor: Duration,
    pub(crate) group_processor: Duration,
    pub(crate) client_processor: Duration,
}

impl Measurement {
    /// Returns an empty measurement.
    pub(crate) fn new(path: PathKind, connections: usize) -> Self {
        Self {
            path,
            connections,
            latency: latency_histogram(),
            time: Duration::ZERO,
            proxy_processor: Duration::ZERO,
            group_processor: Duration::ZERO,
            client_processor: Duration::ZERO,
        }
    }

    fn line(&self) -> MeasurementLine {
        let statements = self.latency.len();
        let micros_at =
            |quantile| self.latency.value_at_quantile(quantile) as f64 / NANOS_PER_MICRO;
        let micros_per_statement =
            |time: Duration| time.as_secs_f64() * MICROS_PER_SECOND / statements.max(1) as f64;
        MeasurementLine {
            path: self.path,
            connections: self.connections,
            statements,
            statements_per_second: statements as f64 / self.time.as_secs_f64(),
            median_micros: micros_at(0.5),
            p99_micros: micros_at(0.99),
            proxy_processor_micros: micros_per_statement(self.proxy_processor),
            group_processor_micros: micros_per_statement(self.group_processor),
            client_processor_micros: micros_per_statement(self.client_processor),
        }
    }
}

/// Printed form of a measurement; processor times are per statement.
#[derive(Clone, Debug, Serialize)]
struct MeasurementLine {
    path: PathKind,
    connections: usize,
    statements: u64,
    statements_per_second: f64,
    median_micros: f64,
    p99_micros: f64,
    proxy_processor_micros: f64,
    group_processor_micros: f64,
    client_processor_micros: f64,
}

/// Figures of the proxy path relative to the direct path.
#[derive(Clone, Debug, Serialize)]
struct RatioLine {
    connections: usize,
    median_ratio: f64,
    p99_ratio: f64,
    throughput_ratio: f64,
    median_added_micros: f64,
    /// Statements per second that one core of the proxy can process; 0 if its process id is not
    /// known.
    proxy_statements_per_core_second: f64,
}

/// Results of all measurements.
#[derive(Debug, Default)]
pub(crate) struct BenchReport {
    lines: Vec<MeasurementLine>,
    ratios: Vec<RatioLine>,
}

impl BenchReport {
    /// Adds the measurements of one number of connections and prints them as JSON lines.
    pub(crate) fn add(&mut self, measurements: &[Measurement]) {
        let lines: Vec<_> = measurements.iter().map(Measurement::line).collect();
        for line in &lines {
            print_json(line);
        }
        if let [direct, proxy] = lines.as_slice() {
            let ratio = RatioLine {
                connections: direct.connections,
                median_ratio: proxy.median_micros / direct.median_micros,
                p99_ratio: proxy.p99_micros / direct.p99_micros,
                throughput_ratio: proxy.statements_per_second / direct.statements_per_second,
                median_added_micros: proxy.median_micros - direct.median_micros,
                proxy_statements_per_core_second: if proxy.proxy_processor_micros > 0.0 {
                    MICROS_PER_SECOND / proxy.proxy_processor_micros
                } else {
                    0.0
                },
            };
            print_json(&ratio);
            self.ratios.push(ratio);
        }
        self.lines.extend(lines);
    }

    /// Prints a readable table to standard error.
    pub(crate) fn print_table(&self) {
        eprintln!(
            "{:>8} {:>11} {:>12} {:>10} {:>10} {:>11} {:>11} {:>11}",
            "path",
            "connections",
            "statements/s",
            "median us",
            "p99 us",
            "proxy us/st",
            "group us/st",
            "client us/st"
        );
        for line in &self.lines {
            let path = match line.path {
                PathKind::Direct => "direct",
                PathKind::Proxy => "proxy",
            };
            eprintln!(
                "{path:>8} {:>11} {:>12.0} {:>10.1} {:>10.1} {:>11.1} {:>11.1} {:>11.1}",
                line.connections,
                line.statements_per_second,
                line.median_micros,
                line.p99_micros,
                line.proxy_processor_micros,
                line.group_processor_micros,
                line.client_processor_micros
            );
        }
        for ratio in &self.ratios {
            eprintln!(
                "{:>8} {:>11} {:>12.2} {:>10.2} {:>10.2}   median +{:.1} us, {:.0} statements/s a core",
                "ratio",
                ratio.connections,
                ratio.throughput_ratio,
                ratio.median_ratio,
                ratio.p99_ratio,
                ratio.median_added_micros,
                ratio.proxy_statements_per_core_second
            );
        }
    }
}

fn print_json(line: &impl Serialize) {
    match serde_json::to_string(line) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("cannot serialize a result: {error}"),
    }
}
