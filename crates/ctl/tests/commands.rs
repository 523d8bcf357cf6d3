//! Guards the commands as an operator sees them: exit codes, output, and races on one document.

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;

use googletest::prelude::*;
use zinniahinge_standins::FaultKind;
use zinniahinge_standins::FaultRequest;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::KvService;
use zinniahinge_standins::KvServiceSettings;
use zinniahinge_standins::StandInServer;

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Writes a copy of the demo document with one replacement.
fn edited(name: &str, from: &str, to: &str) -> PathBuf {
    let text = std::fs::read_to_string(example("demo-llm.toml")).expect("demo-llm.toml");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text.replacen(from, to, 1)).expect(name);
    path
}

async fn start_service() -> StandInServer {
    let faults = Arc::new(FaultSet::new(KvService::FAULTS));
    let service = KvService::new(KvServiceSettings::default(), faults.clone());
    let handler = move |request| service.clone().handle(request);
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = StandInServer::start(listen, faults, handler).await;
    server.expect("the stand-in cannot listen")
}

fn start(arguments: &[&str], kv: &str) -> std::process::Child {
    Command::new(env!("CARGO_BIN_EXE_zinniahingectl"))
        .args(arguments)
        .env("ZINNIAHINGE_KV", kv)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command cannot start")
}

/// Runs off the runtime's threads, so that the stand-in can answer meanwhile.
async fn ctl(arguments: &[&str], kv: &str) -> Output {
    let child = start(arguments, kv);
    let wait = tokio::task::spawn_blocking(move || child.wait_with_output());
    let output = wait.await.expect("the wait was cancelled");
    output.expect("the command was not started")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

struct ExitCase {
    arguments: &'static [&'static str],
    code: i32,
}

/// Guards against scripts that take a failure for success.
#[gtest]
#[tokio::test]
async fn exit_codes_without_a_service() {
    let bad = edited("bad.toml", "slots = 8", "slots = 0");
    let good = example("demo-llm.toml");
    let (bad, good) = (bad.to_str().unwrap(), good.to_str().unwrap());
    #[rustfmt::skip]
    let cases = [
        ExitCase { arguments: &["--help"], code: 0 },
        ExitCase { arguments: &["keys", "new"], code: 0 },
        ExitCase { arguments: &["check", "GOOD"], code: 0 },
        ExitCase { arguments: &["check", "GOOD", "BAD"], code: 2 },
        ExitCase { arguments: &["check"], code: 2 },
        ExitCase { arguments: &["check", "no-such-file"], code: 2 },
        ExitCase { arguments: &["unknown"], code: 2 },
        ExitCase { arguments: &["list", "--kv", "nonsense"], code: 2 },
        ExitCase { arguments: &["accept", "BAD"], code: 2 },
        ExitCase { arguments: &["diff", "other-service", "GOOD"], code: 2 },
        ExitCase { arguments: &["keys", "digest"], code: 2 },
        ExitCase { arguments: &["list"], code: 1 },
        ExitCase { arguments: &["accept", "GOOD"], code: 1 },
    ];
    for case in cases {
        let named = case.arguments.iter().map(|argument| match *argument {
            "GOOD" => good,
            "BAD" => bad,
            other => other,
        });
        let output = ctl(&named.collect::<Vec<_>>(), "127.0.0.1:1").await;
        let code = output.status.code();
        expect_that!(code, some(eq(case.code)), "{:?}", case.arguments);
    }
}

/// Guards against a digest over more than the key, such as the line end.
#[gtest]
fn digest_of_the_key_on_standard_input() {
    let digest = "46c3d160f6fd38c3241a82d0261ef7ede67bca62d8e8f56e04aed07efac83c47\n";
    for line_end in ["", "\n", "\r\n"] {
        let mut child = start(&["keys", "digest"], "");
        let mut input = child.stdin.take().unwrap();
        write!(input, "zk-demo-vendor-key{line_end}").unwrap();
        drop(input);
        expect_that!(stdout(&child.wait_with_output().unwrap()), eq(digest));
    }
}

/// Guards against a conflict that does not show what either side changed, and against an overwrite.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_operator_gets_a_conflict_with_both_differences() {
    let server = start_service().await;
    let kv = server.address.to_string();
    let first = example("demo-llm.toml");
    let theirs = edited("theirs.toml", "slots = 8", "slots = 9");
    let mine = edited("mine.toml", "burst = 40000", "burst = 50000");
    let accept = |path: &PathBuf, reviewed: &str| {
        let path = path.to_str().unwrap().to_owned();
        let (kv, reviewed) = (kv.clone(), reviewed.trim().to_owned());
        async move { ctl(&["accept", &path, "--reviewed", &reviewed], &kv).await }
    };
    expect_that!(
        ctl(&["show", "demo-llm"], &kv).await.status.code(),
        some(eq(1))
    );
    expect_that!(accept(&first, "0").await.status.code(), some(eq(0)));
    let reviewed = stdout(&ctl(&["show", "demo-llm", "--revision"], &kv).await);
    expect_that!(accept(&theirs, &reviewed).await.status.code(), some(eq(0)));

    let conflict = accept(&mine, &reviewed).await;
    expect_that!(conflict.status.code(), some(eq(3)));
    let text = stdout(&conflict);
    expect_that!(text, contains_substring("~ models[small].slots: 8 -> 9"));
    expect_that!(
        text,
        contains_substring("~ accounts[vendor].burst: 40000 -> 50000")
    );
    expect_that!(text, not(contains_substring("slots: 9 -> 8")));

    let unreviewed = ctl(&["accept", mine.to_str().unwrap()], &kv).await;
    expect_that!(unreviewed.status.code(), some(eq(3)));
    let shown = stdout(&ctl(&["show", "demo-llm"], &kv).await);
    expect_that!(shown, eq(&std::fs::read_to_string(&theirs).unwrap()));
    let difference = ctl(&["diff", "demo-llm", mine.to_str().unwrap()], &kv).await;
    expect_that!(
        stdout(&difference),
        contains_substring("~ models[small].slots: 9 -> 8")
    );
    let listing = stdout(&ctl(&["list"], &kv).await);
    expect_that!(listing, contains_substring("demo-llm: revision"));
}

/// Guards against two operators who both believe that their document is in force.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_many_operators_one_wins() {
    const OPERATORS: usize = 8;
    let server = start_service().await;
    let kv = server.address.to_string();
    let tasks: Vec<_> = (0..OPERATORS)
        .map(|index| {
            let burst = format!("burst = 4000{index}");
            let path = edited(&format!("race-{index}.toml"), "burst = 40000", &burst);
            let kv = kv.clone();
            tokio::spawn(async move {
                let output = ctl(&["accept", path.to_str().unwrap()], &kv).await;
                (output.status.code(), std::fs::read_to_string(path).unwrap())
            })
        })
        .collect();
    let mut winners = Vec::new();
    for task in tasks {
        let (code, text) = task.await.unwrap();
        match code {
            Some(0) => winners.push(text),
            code => expect_that!(code, some(eq(3))),
        }
    }
    let shown = stdout(&ctl(&["show", "demo-llm"], &kv).await);
    expect_that!(winners, elements_are![eq(&shown)]);
}

/// Guards against a lost answer that is reported as a failure or leads to a second revision.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_is_resolved() {
    for kind in [FaultKind::LostAnswer, FaultKind::Down, FaultKind::Garbage] {
        let server = start_service().await;
        let kv = server.address.to_string();
        let mut fault = FaultRequest::new(kind);
        fault.count = Some(1);
        fault.path = Some("/v3/kv/txn".to_owned());
        server.faults.add(fault).unwrap();
        let path = example("demo-llm.toml");
        let output = ctl(&["accept", path.to_str().unwrap()], &kv).await;
        expect_that!(output.status.code(), some(eq(0)), "{kind:?}");
        let again = ctl(&["accept", path.to_str().unwrap()], &kv).await;
        let text = stdout(&again);
        expect_that!(text, contains_substring("already in force"), "{kind:?}");
        let revision = stdout(&ctl(&["show", "demo-llm", "--revision"], &kv).await);
        let text = stdout(&output);
        expect_that!(text, contains_substring(revision.trim()), "{kind:?}");
    }
}
