//! Usage reports of control processes that miss responses, are paused or killed, leave, or lose the log.

mod control_support;

use control_support::{ControlNode, LogStore, ReportStore, sleep_secs};
use marigoldlock_core::authority::Fault;

#[tokio::test(start_paused = true)]
async fn every_request_is_reported_once() {
    let (log, reports) = (LogStore::new(), ReportStore::default());
    let a = ControlNode::start("a", &log, &reports);
    sleep_secs(2).await;
    let b = ControlNode::start("b", &log, &reports);
    for _ in 0..10 {
        a.serve(1);
        b.serve(2);
        sleep_secs(3).await;
        b.share_with(&a).await;
    }
    sleep_secs(30).await;
    assert_eq!(reports.violation(), None);
    assert_eq!(reports.requests(), 30);
}

#[tokio::test(start_paused = true)]
async fn lost_response_repeats_the_same_figure() {
    let (log, reports) = (LogStore::new(), ReportStore::default());
    let a = ControlNode::start("a", &log, &reports);
    sleep_secs(2).await;
    reports.lose_answers(3);
    a.serve(5);
    sleep_secs(20).await;
    a.serve(1);
    sleep_secs(40).await;
    let seen = reports.seen();
    assert_eq!(seen.len(), 5, "three lost, one repeated, one of the later window");
    assert_eq!(reports.violation(), None);
    assert_eq!(reports.requests(), 6);
}

/// Pauses the first reporter between its check and the send, and resumes it after another has taken over.
async fn pause_between_check_and_send(fault: Option<Fault>) -> ReportStore {
    let (log, reports) = (LogStore::new(), ReportStore::default());
    let a = ControlNode::start_faulty("a", &log, &reports, fault);
    sleep_secs(2).await;
    let b = ControlNode::start_faulty("b", &log, &reports, fault);
    a.serve(3);
    sleep_secs(5).await;
    a.report_gate.send_replace(false);
    // By now the window is frozen and its report is checked but not sent.
    sleep_secs(10).await;
    a.pause();
    sleep_secs(60).await;
    assert!(b.reports_usage().await, "the other process has taken over");
    b.serve(4);
    sleep_secs(30).await;
    a.resume();
    sleep_secs(60).await;
    reports
}

#[tokio::test(start_paused = true)]
async fn reporter_paused_between_check_and_send_is_waited_for() {
    let reports = pause_between_check_and_send(None).await;
    assert_eq!(reports.violation(), None);
    assert_eq!(reports.requests(), 7);
}

#[tokio::test(start_paused = true)]
async fn without_the_sender_check_a_paused_reporter_reports_after_its_successor() {
    let reports = pause_between_check_and_send(Some(Fault::IgnoreSender)).await;
    let violation = reports.violation().expect("two processes report the window");
    assert!(violation.contains("former holder"), "{violation}");
}

#[tokio::test(start_paused = true)]
async fn killed_reporter_leaves_later_windows_to_its_successor() {
    let (log, reports) = (LogStore::new(), ReportStore::default());
    let a = ControlNode::start("a", &log, &reports);
    sleep_secs(2).await;
    let b = ControlNode::start("b", &log, &reports);
    a.serve(3);
    a.share_with(&b).await;
    a.kill().await;
    sleep_secs(40).await;
    assert!(b.reports_usage().await);
    assert_eq!(reports.violation(), None);
    assert_eq!(reports.requests(), 3, "the counts survive at the other process");
}

#[tokio::test(start_paused = true)]
async fn leaving_reporter_hands_over_at_once() {
    let (log, reports) = (LogStore::new(), ReportStore::default());
    let a = ControlNode::start("a", &log, &reports);
    sleep_secs(2).await;
    let b = ControlNode::start("b", &log, &reports);
    a.serve(3);
    a.share_with(&b).await;
    assert!(a.control.leave(std::time::Duration::from_secs(10)).await);
    a.kill().await;
    sleep_secs(3).await;
    assert!(b.reports_usage().await);
    sleep_secs(30).await;
    assert_eq!(reports.violation(), None);
    assert_eq!(reports.requests(), 3);
}

#[tokio::test(start_paused = true)]
async fn log_outage_delays_reports_and_loses_none() {
    let (log, reports) = (LogStore::new(), ReportStore::default());
    let a = ControlNode::start("a", &log, &reports);
    sleep_secs(2).await;
    a.serve(3);
    a.log_gate.send_replace(false);
    sleep_secs(3_600).await;
    assert!(reports.seen().is_empty());
    assert!(
        !a.reports_usage().await,
        "nothing that needs agreement is decided"
    );
    a.serve(2);
    a.log_gate.send_replace(true);
    sleep_secs(60).await;
    assert_eq!(reports.violation(), None);
    assert_eq!(reports.requests(), 5);
}
