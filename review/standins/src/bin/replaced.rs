//! The process of an IAX2 hub dies and a new one takes its place at the same address at once.

use review_standins::caller::{Calls, Connection};
use review_standins::*;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

fn start_hub(port: u16, first: u16, record: &Record, path: &Path) -> Child {
    let program = std::env::current_exe().unwrap().with_file_name("iax2hub");
    let mut child = Command::new(program)
        .args([&port.to_string(), &first.to_string(), path.to_str().unwrap(), &record.start().to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap_or_else(|e| cannot_run(&format!("IAX2 hub: {e}")));
    STARTED.lock().unwrap().push(child.id());
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    if line.trim() != "ready" {
        cannot_run("the IAX2 hub is not ready");
    }
    record.line("IAX2 hub: process ready");
    child
}

fn end_hub(hub: &mut Child) {
    let _ = hub.kill();
    let _ = hub.wait();
    STARTED.lock().unwrap().retain(|pid| *pid != hub.id());
}

fn main() {
    limit_run();
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or(".".into())).join("record.txt");
    let record = Record::create(&path);
    let port = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let mut hub = start_hub(port, 100, &record, &path);
    let deployment =
        Deployment { sockets: 1024, changelog: None, known: "", seq: 0, hubs: 1, idempotency: "free" };
    let operator = format!(
        r#"{{"iax2":{{"local":"127.0.0.1:0","hubs":[{{"uid":"desk-hub-1","address":"127.0.0.1:{port}","place":0}}]}}}}"#
    );
    let mut program = Program::start_with(&deployment.json(), Some(&operator), free_port(), &record);
    let calls = Calls::new(&record);
    let connection = Connection::open("c", program.address, &calls).unwrap();
    let standing: Vec<u64> = (0..6).map(|n| 0x8000 + n).collect();
    for call in &standing {
        connection.send_set_up(*call, "seat-hold", 3000, 0);
    }
    sleep_ms(2000);
    if standing.iter().any(|c| calls.get(*c).answers.first().map(|a| a.1) != Some(200)) {
        cannot_run("the calls do not stand");
    }
    let died = now_us();
    if trouble() {
        record.line("IAX2 hub: process killed");
        end_hub(&mut hub);
        hub = start_hub(port, 200, &record, &path);
    }
    // Other calls go on: one every 2 s.
    for nth in 0..12u64 {
        sleep_ms(1000);
        connection.send_set_up(0x8100 + nth, "seat-hold", 3000, 0);
        sleep_ms(1000);
    }
    if !program.is_running() {
        record.say("the session controller has ended");
    }
    let mut late = 0;
    for call in &standing {
        let bye = calls.get(*call).byes.first().map(|b| b.0);
        if trouble() {
            late += u64::from(bye.is_none_or(|at| at > died + 8_050_000));
            record.say(&match bye {
                Some(at) => format!(
                    "call {call:016x}: released towards its caller {:.2} s after the process died",
                    (at - died) as f64 / 1e6
                ),
                None => format!("call {call:016x}: not released towards its caller"),
            });
        } else {
            late += u64::from(bye.is_some());
        }
    }
    record.say(&format!("{late} of {} calls broke the rule", standing.len()));
    end_hub(&mut hub);
    drop(program);
    std::process::exit(i32::from(late > 0));
}
