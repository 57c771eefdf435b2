//! Engines that ignore a continuation or spoil an event. No stream and no item joins the texts of
//! two runs, misses an event or has one twice.

mod batch_deployment;
mod common;

use batch_deployment::Job;
use bytes::Bytes;
use common::answers::{CHAT, prompt, set_faults, streamed_text};
use common::{Deployment, until};
use foxtailhold_standin::demo::chat;
use foxtailhold_standin::engine::faults::{Ran, SpoiltEvent, SpoiltKind};
use foxtailhold_standin::engine::{EngineFaults, text};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::Value;
use test_case::test_case;

const TOKENS: u64 = 120;
const CUT_AFTER: u64 = 8;
const STREAMS: usize = 48;

/// Starts one entry instance and an engine for each element of `faults`, all of one version.
async fn start(faults: &[EngineFaults]) -> Deployment {
    let mut deployment = Deployment::start(0, 0).await;
    for index in 0..faults.len() {
        deployment.add_engine(&format!("engine-{index}"), "concord-hall", &[]);
    }
    deployment.add_entry("entry-0", "concord-hall", &[]);
    deployment.settle(1).await;
    deployment.set_demo_contract().await;
    for (engine, faults) in faults.iter().enumerate() {
        set_faults(&deployment, engine, faults).await;
    }
    deployment
}

/// An engine that breaks streams off, and one that begins anew where it is asked to go on.
fn cut_and_anew() -> [EngineFaults; 2] {
    let cuts = EngineFaults {
        cut_after_tokens: Some(CUT_AFTER),
        ..EngineFaults::default()
    };
    let begins_anew = EngineFaults {
        begins_anew: true,
        ..EngineFaults::default()
    };
    [cuts, begins_anew]
}

async fn record(deployment: &Deployment, engine: usize) -> Vec<Ran> {
    let address = deployment.engines[engine].address("listening");
    let path = "/standin/record";
    let caller = &deployment.caller;
    let record = caller.json(address, Method::GET, path, &Value::Null).await;
    serde_json::from_value(record.unwrap()).unwrap()
}

/// Requests that the first engine cut and the second began anew.
async fn begun_anew(deployment: &Deployment) -> usize {
    let cut = record(deployment, 0).await;
    let anew = record(deployment, 1).await;
    let is_cut = |ran: &&Ran| cut.iter().any(|cut| cut.request == ran.request);
    anew.iter().filter(is_cut).count()
}

/// Runs of questions that start with `name` whose event `ordinal` the first engine spoilt.
async fn spoilt(deployment: &Deployment, name: &str, ordinal: u64) -> usize {
    let ran = record(deployment, 0).await;
    let is_spoilt = |ran: &&Ran| ran.prompt.contains(name) && ran.tokens >= ordinal;
    ran.iter().filter(is_spoilt).count()
}

/// Streams answers at once; returns question and body of each.
async fn stream(deployment: &Deployment, name: &str) -> Vec<(String, Bytes)> {
    let address = deployment.caller_address(0);
    let mut asked = Vec::new();
    for index in 0..STREAMS {
        let question = format!("{name} {index}");
        let body = Bytes::from(chat(&question, TOKENS, true).to_string());
        let sent = deployment
            .caller
            .send(address, Method::POST, CHAT, body, "application/json");
        asked.push(async move { (question, sent.await.unwrap()) });
    }
    futures_util::future::join_all(asked).await
}

/// Counts the streams that are whole, and those whose text is not that of one run from its start.
fn count(answers: &[(String, Bytes)]) -> (usize, usize) {
    let (mut whole, mut wrong) = (0, 0);
    for (question, body) in answers {
        let (found, is_whole) = streamed_text(body);
        let expected = text::answer(&prompt(question), TOKENS);
        whole += usize::from(is_whole);
        let is_right = match is_whole {
            true => found == expected,
            false => expected.starts_with(&found),
        };
        wrong += usize::from(!is_right);
    }
    (whole, wrong)
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_joined_from_a_run_that_began_anew() {
    let [cuts, begins_anew] = cut_and_anew();
    let deployment = start(&[cuts, begins_anew, EngineFaults::default()]).await;
    let answers = stream(&deployment, "anew").await;
    let anew = begun_anew(&deployment).await;
    let (whole, wrong) = count(&answers);
    println!("figure: {anew} runs begun anew, {whole} of {STREAMS} streams whole, {wrong} wrong");
    assert!(anew > 0);
    assert_eq!((whole, wrong), (STREAMS, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_an_engine_that_goes_on_is_cut() {
    let deployment = start(&cut_and_anew()).await;
    let answers = stream(&deployment, "only anew").await;
    let anew = begun_anew(&deployment).await;
    let (whole, wrong) = count(&answers);
    println!("figure: {anew} runs begun anew, {whole} of {STREAMS} streams whole, {wrong} wrong");
    assert!(anew > 0);
    assert_eq!(wrong, 0);
    for (question, body) in answers {
        let (found, is_whole) = streamed_text(&body);
        let cut = text::answer(&prompt(&question), CUT_AFTER);
        assert!(is_whole || found == cut, "{question}: {found}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn item_is_not_joined_from_a_run_that_began_anew() {
    let [cuts, begins_anew] = cut_and_anew();
    let deployment = start(&[cuts, begins_anew, EngineFaults::default()]).await;
    let job = Job::start(&deployment, 0, "anew", 40, TOKENS).await;
    job.wait(0, &["completed"]).await;
    let anew = begun_anew(&deployment).await;
    println!("figure: {anew} runs begun anew");
    assert!(anew > 0);
    job.check_output(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn item_without_an_engine_that_goes_on_starts_again() {
    let [_, begins_anew] = cut_and_anew();
    let deployment = start(&[begins_anew.clone(), begins_anew]).await;
    let job = Job::start(&deployment, 0, "only anew", 24, 400).await;
    until("items to run at the first engine", async || {
        let ran = record(&deployment, 0).await;
        let running = ran.iter().filter(|ran| ran.tokens > 40 && !ran.finished);
        running.count() >= 4
    })
    .await;
    let before = record(&deployment, 0).await;
    deployment.engines[0].signal(Signal::SIGKILL);
    job.wait(0, &["completed"]).await;
    let after = record(&deployment, 1).await;
    let (mut cut, mut again) = (0, 0);
    for ran in before.iter().filter(|ran| !ran.finished && ran.tokens > 0) {
        cut += 1;
        again += usize::from(after.iter().any(|a| a.prompt == ran.prompt && a.finished));
    }
    println!("figure: {again} of {cut} items of the lost engine finished at the other one");
    assert!(cut > 0);
    assert_eq!(again, cut);
    job.check_output(0).await;
}

#[test_case(1, SpoiltKind::Missing ; "first event missing")]
#[test_case(9, SpoiltKind::Missing ; "event missing")]
#[test_case(TOKENS, SpoiltKind::Missing ; "last event missing")]
#[test_case(9, SpoiltKind::Twice ; "event twice")]
#[test_case(1, SpoiltKind::WithoutId ; "first event without identifier")]
#[test_case(9, SpoiltKind::WithoutId ; "event without identifier")]
#[test_case(9, SpoiltKind::IdNoNumber ; "identifier is no number")]
#[test_case(9, SpoiltKind::Broken ; "break inside an event")]
#[tokio::test(flavor = "multi_thread")]
async fn spoilt_event_is_neither_lost_nor_repeated(ordinal: u64, kind: SpoiltKind) {
    let spoils = EngineFaults {
        spoilt_event: Some(SpoiltEvent { ordinal, kind }),
        ..EngineFaults::default()
    };
    let deployment = start(&[spoils, EngineFaults::default()]).await;
    let job = Job::start(&deployment, 0, "spoilt item", 24, TOKENS).await;
    let answers = stream(&deployment, "spoilt stream").await;
    job.wait(0, &["completed"]).await;
    let (whole, wrong) = count(&answers);
    let streams = spoilt(&deployment, "spoilt stream", ordinal).await;
    let items = spoilt(&deployment, "spoilt item", ordinal).await;
    println!(
        "figure: {kind:?} {ordinal}: {streams} streams and {items} items spoilt, \
         {whole} of {STREAMS} streams whole, {wrong} wrong"
    );
    job.check_output(0).await;
    assert!(streams + items > 0);
    assert_eq!((whole, wrong), (STREAMS, 0));
}
