//! The engine model as a process: what its death does to the calls that it had taken.

mod engine_support;

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::RecvTimeoutError;
use engine_support::{config, engine, work};
use havengate_core::request::RequestId;
use havengate_rehearsal::engine::model::{EngineModel, EngineRefusalCode, OutputEvent};
use havengate_rehearsal::stand_in::{ModelProcess, Submission};

/// A stream that is silent for so long will not end any more.
const SILENCE: Duration = Duration::from_secs(20);

fn start() -> Arc<ModelProcess<EngineModel>> {
    ModelProcess::start(engine(config()), "test-engine").expect("the thread starts")
}

fn submit(process: &ModelProcess<EngineModel>) -> Submission<RequestId, OutputEvent> {
    let work = work(1, 1, 100, 50_000);
    let submitted = process.submit(|model, now| model.submit(work, now).map(|()| RequestId(1)));
    submitted.unwrap_or_else(|refusal: EngineRefusalCode| panic!("refused: {refusal}"))
}

#[test]
fn death_breaks_off_what_runs() {
    let process = start();
    let submission = submit(&process);
    assert_eq!(submission.events.recv_timeout(SILENCE), Ok(OutputEvent::Started));
    process.crash(EngineModel::crash);
    let end = std::iter::repeat_with(|| submission.events.recv_timeout(SILENCE)).find_map(Result::err);
    assert_eq!(end, Some(RecvTimeoutError::Disconnected));
    process.end();
}

#[test]
fn late_hang_up_of_an_earlier_life_does_not_stop_the_same_request_of_this_life() {
    let process = start();
    let earlier = submit(&process);
    process.crash(EngineModel::crash);
    process.with_model(EngineModel::restart);
    let present = submit(&process);
    process.withdraw(&earlier, |model, now| model.hang_up(RequestId(1), now));
    assert_eq!(process.with_model(|model, _| model.usage().running), 1);
    process.withdraw(&present, |model, now| model.hang_up(RequestId(1), now));
    assert_eq!(process.with_model(|model, _| model.usage().running), 0);
    process.end();
}
