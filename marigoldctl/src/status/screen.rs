//! Text output of the status.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use super::FleetStatus;

/// Number of refusal rows that are shown.
const MAX_REFUSAL_ROWS: usize = 8;

/// Formats the status as text.
pub(super) fn render(fleet: &FleetStatus) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write_screen(fleet, &mut out);
    out
}

fn write_screen(fleet: &FleetStatus, out: &mut String) -> std::fmt::Result {
    if fleet.findings.is_empty() {
        writeln!(out, "ALL WELL")?;
    } else {
        writeln!(out, "FINDINGS: {}", fleet.findings.len())?;
    }
    for finding in &fleet.findings {
        writeln!(out, "  {}\n    -> {}", finding.what, finding.advice)?;
    }
    write_instances(fleet, out)?;
    write_upstreams(fleet, out)?;
    write_queues(fleet, out)?;
    write_duties(fleet, out)?;
    write_refusals(fleet, out)
}

fn write_instances(fleet: &FleetStatus, out: &mut String) -> std::fmt::Result {
    writeln!(
        out,
        "\n{:<16} {:<12} {:<22} {:>10} {:>8}  state",
        "instance", "data centre", "address", "settings", "age ms"
    )?;
    for status in &fleet.instances {
        let state = match (status.leaving, status.refuses) {
            (true, _) => "leaving".to_owned(),
            (false, Some(code)) => format!("refuses with {code}"),
            (false, None) => "serving".to_owned(),
        };
        let age = status
            .settings_age_ms
            .map_or("-".to_owned(), |age| age.to_string());
        writeln!(
            out,
            "{:<16} {:<12} {:<22} {:>10} {age:>8}  {state}",
            status.instance.as_str(),
            status.data_centre.as_str(),
            status.address,
            status.settings_version.to_string(),
        )?;
    }
    Ok(())
}

fn write_upstreams(fleet: &FleetStatus, out: &mut String) -> std::fmt::Result {
    let Some(first) = fleet.instances.first() else {
        return Ok(());
    };
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for upstream in &first.upstreams {
        let state = match (upstream.leaving, upstream.changing) {
            (true, _) => "leaving",
            (false, true) => "changing",
            (false, false) => "serving",
        };
        let role = format!("{:?}", upstream.role).to_lowercase();
        let capacity = format!("{:?}", upstream.capacity).to_lowercase();
        *counts
            .entry(format!(
                "{:<20} {role:<8} {capacity:<7} {state}",
                upstream.service
            ))
            .or_default() += 1;
    }
    writeln!(
        out,
        "\n{:<20} {:<8} {:<7} {:<9} count",
        "service", "role", "paid", "state"
    )?;
    for (row, count) in counts {
        writeln!(out, "{row:<46} {count:>5}")?;
    }
    Ok(())
}

fn write_queues(fleet: &FleetStatus, out: &mut String) -> std::fmt::Result {
    let mut sums: BTreeMap<&str, ([u32; 3], [u32; 3], u32)> = BTreeMap::new();
    for queue in fleet.instances.iter().flat_map(|status| &status.queues) {
        let sum = sums.entry(queue.service.as_str()).or_default();
        for class in 0..3 {
            sum.0[class] += queue.in_flight[class];
            sum.1[class] += queue.queued[class];
        }
        sum.2 = sum.2.max(queue.slots);
    }
    writeln!(
        out,
        "\n{:<20} {:<20} {:<20} slots",
        "service", "running i/s/l", "waiting i/s/l"
    )?;
    for (service, (running, waiting, slots)) in sums {
        let text = |counts: [u32; 3]| format!("{}/{}/{}", counts[0], counts[1], counts[2]);
        writeln!(
            out,
            "{service:<20} {:<20} {:<20} {slots:>5}",
            text(running),
            text(waiting)
        )?;
    }
    Ok(())
}

fn write_refusals(fleet: &FleetStatus, out: &mut String) -> std::fmt::Result {
    let mut sums: BTreeMap<(&str, u16), u64> = BTreeMap::new();
    for refusal in fleet.instances.iter().flat_map(|status| &status.refusals) {
        *sums.entry((refusal.customer.as_str(), refusal.code)).or_default() += refusal.count;
    }
    if sums.is_empty() {
        return Ok(());
    }
    let mut rows: Vec<_> = sums.into_iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    writeln!(out, "\n{:<20} {:>6} {:>8}", "refused customer", "code", "count")?;
    for ((customer, code), count) in rows.into_iter().take(MAX_REFUSAL_ROWS) {
        writeln!(out, "{customer:<20} {code:>6} {count:>8}")?;
    }
    Ok(())
}

fn write_duties(fleet: &FleetStatus, out: &mut String) -> std::fmt::Result {
    let Some(first) = fleet.instances.first() else {
        return Ok(());
    };
    let mut held: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for duty in &first.duties {
        let holder = duty.holder.as_ref().map_or("(none)", |holder| holder.as_str());
        held.entry(holder).or_default().push(&duty.duty);
    }
    writeln!(out, "\n{:<20} duties", "holder")?;
    for (holder, duties) in held {
        writeln!(out, "{holder:<20} {}", duties.join(" "))?;
    }
    writeln!(
        out,
        "\norders outstanding {}, usage windows not yet reported {}",
        first.outstanding_orders, first.unreported_windows
    )
}
