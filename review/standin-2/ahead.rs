//! LOST: a target crashes in the middle of a large answer, and requests that were sent behind it on the
//! same connection are lost, though sound targets have run and answered them.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::daemon::{Daemon, Ports};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::target::{Plan, Target};

const CONFIG: &str = r#"{"version":"r1","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","weighted_services","max_attempts","service"],"rows":[["r-kit","press.example","/kit/","download",4,3,2,null,2,"media"],["r-look","press.example","/look/","idempotent",2,0.8,1,null,2,"desk"]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["media","/healthz",260,"h1",false],["desk","/healthz",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

const DAEMONS: usize = 3;
/// Targets of the service with large answers; one at a time crashes.
const MEDIA: usize = 7;
const DESK: usize = 4;
const ROUNDS: usize = 24;
const PERIOD: Duration = Duration::from_millis(4300);
/// Requests that a client sends behind the first.
const BEHIND: usize = 5;
const LARGE: usize = 200 << 10;
/// Time for which a crashed target is down.
const DOWN: Duration = Duration::from_secs(4);
/// LOST: a machine does so three times at most.
const MOST: usize = 3;

pub fn run(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", Some(CONFIG.to_owned()));
    let zones = ["radhus", "skolesenter", "havnekontor"];
    let media = |i: usize| {
        let plan = Plan {
            work: Duration::from_millis(100),
            large: Some((LARGE, Duration::from_millis(400))),
            ..Plan::default()
        };
        Target::start(&format!("i-a{i}"), "media", zones[i % 3], plan, record)
    };
    let desk = |i: usize| {
        let plan = Plan {
            work: Duration::from_millis(50),
            ..Plan::default()
        };
        Target::start(&format!("i-d{i}"), "desk", zones[i % 3], plan, record)
    };
    let mut media: Vec<Target> = (0..MEDIA).map(media).collect();
    let desk: Vec<Target> = (0..DESK).map(desk).collect();
    for target in media.iter().chain(&desk) {
        target.report(&store, "ready", 1);
    }
    let ports = Ports::find(DAEMONS);
    let daemons =
        (0..DAEMONS).map(|i| Daemon::start(scratch, i, DAEMONS, ports, store.address, true));
    let daemons: Vec<Daemon> = daemons.collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        return Verdict::NotRun;
    }
    // In touch: the daemons have run for 3 s.
    thread::sleep(Duration::from_secs(4));
    let mut lost = [0; DAEMONS];
    let mut closed = [0; DAEMONS];
    let mut answered = 0;
    for round in 0..ROUNDS {
        let begin = Instant::now();
        let daemon = round % DAEMONS;
        let front = daemons[daemon].front;
        let client = {
            let record = record.clone();
            thread::spawn(move || session(front, round, &record))
        };
        let first = format!("kit-{round}");
        let mut crashed = None;
        while begin.elapsed() < Duration::from_secs(2) && crashed.is_none() && trouble {
            crashed = media.iter().position(|t| t.is_sending(&first));
            thread::sleep(Duration::from_millis(10));
        }
        if let Some(i) = crashed {
            // The answers to the others have come meanwhile.
            thread::sleep(Duration::from_millis(200));
            record.note(&format!("target {} crashes", media[i].id));
            media[i].end();
        }
        let Ok(Some(answers)) = client.join() else {
            return Verdict::NotRun;
        };
        answered += answers.len();
        let arrivals: Vec<_> = desk.iter().flat_map(Target::arrivals).collect();
        let unanswered = (0..BEHIND).map(|i| format!("look-{round}-{i}"));
        let unanswered = unanswered.filter(|id| !answers.contains(id));
        let passed_on = unanswered.filter(|id| arrivals.iter().any(|a| a.id == *id && a.ran));
        let passed_on = passed_on.count();
        if passed_on > 0 {
            lost[daemon] += passed_on;
            closed[daemon] += 1;
            record.note(&format!(
                "{passed_on} requests that sound targets have run get no answer"
            ));
        }
        if let Some(i) = crashed {
            thread::sleep(DOWN.saturating_sub(begin.elapsed()));
            if !media[i].restart(&store) {
                return Verdict::NotRun;
            }
        }
        thread::sleep(PERIOD.saturating_sub(begin.elapsed()));
    }
    record.note(&format!(
        "answered {answered}; for each daemon, requests passed on to sound targets and not answered \
         {lost:?}, connections closed so {closed:?}"
    ));
    if answered == 0 {
        return Verdict::NotRun;
    }
    if closed.iter().any(|c| *c > MOST) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// One client's connection: a request, then several at once; returns the ids that were answered.
fn session(front: SocketAddr, round: usize, record: &Record) -> Option<Vec<String>> {
    let mut stream = TcpStream::connect(front).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut buf = Vec::new();
    let text = |id: &str, path: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nHost: press.example\r\nX-Cuminspread-Attempt-Id: {id}\r\n\
             X-Cuminspread-Deadline-Ms: 4000\r\n\r\n"
        )
    };
    let first = format!("begin-{round}");
    stream.write_all(text(&first, "/look/0").as_bytes()).ok()?;
    http::read_request(&mut stream, &mut buf)?;
    let mut ids = vec![format!("kit-{round}")];
    ids.extend((0..BEHIND).map(|i| format!("look-{round}-{i}")));
    let mut all = text(&ids[0], "/kit/1");
    for id in &ids[1..] {
        all.push_str(&text(id, "/look/1"));
    }
    record.note(&format!("client: sends {} to {front}", ids.join(", ")));
    stream.write_all(all.as_bytes()).ok()?;
    let mut answers = vec![first];
    for id in &ids {
        let Some(answer) = http::read_request(&mut stream, &mut buf) else {
            record.note(&format!(
                "client: the connection ends, without an answer to {id}"
            ));
            break;
        };
        record.note(&format!("client: gets {} for {id}", answer.line));
        answers.push(id.clone());
    }
    Some(answers)
}
