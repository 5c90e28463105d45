//! The platform client, and a daemon in folder mode, against the stand-in for the platform.

use std::time::Duration;

use cuminspread::state::fleet::{FleetList, Vm};
use cuminspread::transport::platform::{PlatformClient, PlatformSettings, ReadStep};
use cuminspread_bench::deployment::{Deployment, PEER_KEY, wait_ready};
use cuminspread_bench::shop::VESTFJORD;
use cuminspread_bench::standin::platform::{Condition, FolderFile, Platform as StandIn};
use cuminspreadd::admin::Status;
use cuminspreadd::daemon::Daemon;
use cuminspreadd::settings::Settings;
use reqwest::StatusCode;

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn client(stand_in: &StandIn, settings: &PlatformSettings) -> PlatformClient {
    let base_url = stand_in.url();
    let settings = settings.clone();
    PlatformClient::new(PlatformSettings {
        base_url,
        ..settings
    })
    .expect("client")
}

fn short_timeouts() -> PlatformSettings {
    PlatformSettings {
        folder_wait: Duration::from_millis(50),
        timeout: Duration::from_millis(100),
        ..PlatformSettings::default()
    }
}

fn file(text: &str) -> Vec<FolderFile> {
    vec![FolderFile {
        name: "10.north.a.ini".to_owned(),
        text: text.to_owned(),
    }]
}

#[tokio::test]
async fn watches_return_the_next_revision_or_none_after_the_wait() {
    let stand_in = StandIn::start().await.expect("free port");
    let patient = client(&stand_in, &PlatformSettings::default());
    assert_eq!(stand_in.publish_folder(file("[council]")), 1);
    let first = patient.watch_folder(0).await.expect("read").expect("newer");
    assert_eq!((first.revision, first.files.len()), (1, 1));
    let watch = tokio::spawn({
        let patient = patient.clone();
        async move { patient.watch_folder(1).await }
    });
    while stand_in.calls() < 2 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    stand_in.publish_folder(Vec::new());
    let second = watch.await.expect("task").expect("read").expect("newer");
    assert_eq!((second.revision, second.files.len()), (2, 0));
    let hasty = client(&stand_in, &short_timeouts());
    assert!(hasty.watch_folder(2).await.expect("read").is_none());
    stand_in.publish_vm_list(FleetList::default());
    let vm_list = patient
        .watch_vm_list(0)
        .await
        .expect("read")
        .expect("newer");
    assert_eq!(vm_list.revision, 1);
    assert_eq!((patient.reads(), hasty.reads()), (3, 1));
}

#[tokio::test]
async fn failed_reads_name_the_url_and_have_size_and_time_limits() {
    let stand_in = StandIn::start().await.expect("free port");
    stand_in.publish_folder(file(&"; ".repeat(1000)));
    let small = client(
        &stand_in,
        &PlatformSettings {
            max_response_bytes: 1000,
            ..short_timeouts()
        },
    );
    let large = small
        .watch_folder(0)
        .await
        .expect_err("response above the limit");
    assert!(matches!(large.step, ReadStep::TooLarge));
    let client = client(&stand_in, &short_timeouts());
    stand_in.set_condition(Condition::Down);
    let down = client.watch_folder(0).await.expect_err("status 503");
    assert!(matches!(
        down.step,
        ReadStep::Status(StatusCode::SERVICE_UNAVAILABLE)
    ));
    assert!(down.to_string().contains(&stand_in.url()));
    stand_in.set_condition(Condition::Hanging);
    let hanging = client.watch_folder(0).await.expect_err("time-out");
    assert!(matches!(hanging.step, ReadStep::Request(e) if e.is_timeout()));
}

async fn poll_status_until(daemon: &Daemon, is_expected: impl Fn(&Status) -> bool) -> Status {
    let url = format!("http://{}/status", daemon.admin());
    let poll = async {
        loop {
            let response = reqwest::get(&url).await.expect("response");
            let status: Status = response.json().await.expect("status as JSON");
            if is_expected(&status) {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, poll)
        .await
        .expect("expected status within the time limit")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_keeps_the_last_valid_files_and_reports_the_refused_files() {
    let stand_in = StandIn::start().await.expect("free port");
    stand_in.publish_folder(file("[council]\nprobe-budget = 3\n"));
    let settings = Settings {
        name: "vm-1".into(),
        data_centre: "hall".into(),
        platform: stand_in.url(),
        peer_keys: vec!["a secret of the tests".to_owned()],
        ..Settings::default()
    };
    let daemon = Daemon::start(settings).await.expect("daemon");
    wait_ready(daemon.admin()).await.expect("ready");
    stand_in.publish_folder(file("[council]\nprobe-budget = many\n"));
    let status = poll_status_until(&daemon, |s| !s.refused_files.is_empty()).await;
    assert_eq!(status.refused_files[0].version, 2);
    let fault = &status.refused_files[0].faults[0];
    assert!(
        fault.starts_with("10.north.a.ini:2: [council] probe-budget:"),
        "{fault}"
    );
    assert_eq!(status.councils[0].version, 1);
    assert!((status.councils[0].probe_budget - 3.0).abs() < f64::EPSILON);
    stand_in.publish_folder(file("[council]\nprobe-budget = 4\n"));
    let status = poll_status_until(&daemon, |s| s.refused_files.is_empty()).await;
    assert_eq!(status.councils[0].version, 3);
    assert_eq!(daemon.invariants().total_broken(), 0);
    daemon.kill();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_cannot_read_the_folder_gets_it_from_peers() {
    let mut deployment = Deployment::start(VESTFJORD, 3, 3).await.expect("started");
    // This platform has the VM list but never publishes a folder.
    let list_only = StandIn::start().await.expect("free port");
    let settings = Settings {
        name: "vm-cut-off".into(),
        data_centre: VESTFJORD.data_centres[0].into(),
        platform: list_only.url(),
        peer_keys: vec![PEER_KEY.to_owned()],
        ..Settings::default()
    };
    let daemon = Daemon::start(settings).await.expect("daemon");
    let vm = Vm {
        name: "vm-cut-off".into(),
        data_centre: VESTFJORD.data_centres[0].into(),
        peer: daemon.peer(),
        leaving: false,
    };
    let vms = deployment.members.iter().map(|m| m.vm.clone());
    let list = FleetList {
        epoch: 1,
        vms: vms.chain([vm]).collect(),
        ..FleetList::default()
    };
    deployment.platform.publish_vm_list(list.clone());
    list_only.publish_vm_list(list);
    wait_ready(daemon.admin()).await.expect("ready");
    deployment.folder_changes += 1;
    let revision = deployment.publish_folder();
    let is_newest = |s: &Status| s.councils.first().is_some_and(|c| c.version == revision);
    poll_status_until(&daemon, is_newest).await;
    assert_eq!(daemon.invariants().total_broken(), 0);
    daemon.kill();
    let violations = deployment.stop().await;
    assert!(violations.is_empty(), "{violations:?}");
}
