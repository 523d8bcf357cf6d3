//! Guards the figures: wrong ones would be believed.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_bench::ArrivalSettings;
use zinniahinge_bench::CallRecord;
use zinniahinge_bench::CallResult;
use zinniahinge_bench::ChatCall;
use zinniahinge_bench::ChatClient;
use zinniahinge_bench::LatencyRecord;
use zinniahinge_bench::LoadRecord;
use zinniahinge_bench::LoadReport;
use zinniahinge_bench::ProcessUsage;
use zinniahinge_bench::SlopeLine;
use zinniahinge_bench::SlopePoint;
use zinniahinge_bench::plan_arrivals;
use zinniahinge_standins::expected_answer;

const SECOND: Duration = Duration::from_secs(1);

// ----------------------------------------------------------------------------------------------
// Latencies

/// Guards against coordinated omission: while a server stalls for 10 s, requests that were due and
/// could be sent only after the stall must count with the time that they were late.
#[gtest]
fn latency_counts_from_the_planned_time_of_sending() {
    let start = Instant::now();
    let stall_end = start + 10 * SECOND;
    let mut from_plan = LatencyRecord::default();
    let records: Vec<LoadRecord> = (0..10)
        .map(|second| LoadRecord {
            intended: start + second * SECOND,
            model: 0,
            call: CallRecord {
                result: CallResult::Whole,
                sent: stall_end,
                first_token: Some(stall_end),
                finished: stall_end,
            },
        })
        .collect();
    for record in &records {
        from_plan.add(record.intended, record.call.finished);
    }
    expect_that!(from_plan.count(), eq(10));
    // The requests were 1 to 10 s late.
    expect_that!(from_plan.quantile(0.5).as_secs_f64(), near(5.0, 0.05));
    let report = LoadReport::new(&records, 10 * SECOND);
    expect_that!(report.latency.max_ms, near(10_000.0, 20.0));
    expect_that!(report.first_token.max_ms, near(10_000.0, 20.0));
    expect_that!(report.send_lag.max_ms, near(10_000.0, 20.0));
}

/// Guards against latencies of failed requests among those of answers, and against lost counts.
#[gtest]
fn only_whole_answers_have_a_latency() {
    let start = Instant::now();
    let refused = |ran: &str| CallResult::Refused {
        kind: "overloaded".to_owned(),
        ran: ran.to_owned(),
    };
    let results = [
        CallResult::Whole,
        CallResult::Wrong,
        CallResult::Cut,
        refused("no"),
        refused("unknown"),
        refused(""),
    ];
    let records: Vec<LoadRecord> = results
        .into_iter()
        .map(|result| LoadRecord {
            intended: start,
            model: 0,
            call: CallRecord {
                result,
                sent: start,
                first_token: None,
                finished: start + SECOND,
            },
        })
        .collect();
    let report = LoadReport::new(&records, SECOND);
    expect_that!(report.sent, eq(6));
    expect_that!(report.latency.count, eq(1));
    expect_that!(report.send_lag.count, eq(6));
    let counts = [("whole", 1), ("wrong", 1), ("cut", 1), ("overloaded", 3)];
    for (name, count) in counts {
        expect_that!(report.result(name), eq(count), "{name}");
    }
    for ran in ["no", "unknown", "unstated"] {
        expect_that!(report.refused_by_ran.get(ran), some(eq(&1)), "{ran}");
    }
}

// ----------------------------------------------------------------------------------------------
// Arrivals

fn arrivals(seed: u64) -> ArrivalSettings {
    ArrivalSettings {
        rate: 100.0,
        duration: 100 * SECOND,
        choices: 10,
        zipf_exponent: 1.0,
        seed,
    }
}

/// Guards against runs that cannot be repeated, and against arrivals of another rate or mix.
#[gtest]
fn arrivals_follow_the_seed_the_rate_and_the_mix() {
    let plan = plan_arrivals(&arrivals(7));
    expect_that!(plan, eq(&plan_arrivals(&arrivals(7))));
    expect_that!(plan, not(eq(&plan_arrivals(&arrivals(8)))));
    // 10,000 expected with a standard deviation of 100.
    expect_that!(plan.len() as f64, near(10_000.0, 500.0));
    expect_true!(plan.is_sorted_by_key(|arrival| arrival.offset));
    expect_true!(plan.iter().all(|arrival| arrival.offset < 100 * SECOND));
    let share = |choice| {
        let chosen = plan.iter().filter(|arrival| arrival.choice == choice);
        chosen.count() as f64 / plan.len() as f64
    };
    // The harmonic number of 10 is 2.929.
    expect_that!(share(0), near(1.0 / 2.929, 0.03));
    expect_that!(share(9), near(0.1 / 2.929, 0.02));
}

// ----------------------------------------------------------------------------------------------
// Answers

struct AnswerCase {
    name: &'static str,
    stream: bool,
    answer: String,
    result: CallResult,
}

fn whole(text: &str) -> String {
    let body = format!(r#"{{"choices":[{{"message":{{"content":"{text}"}}}}]}}"#);
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn events(lines: &[String], is_ended: bool) -> String {
    let mut answer = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    for line in lines {
        answer += &format!("{:x}\r\n{line}\n\n\r\n", line.len() + 2);
    }
    if is_ended {
        answer += "0\r\n\r\n";
    }
    answer
}

fn token(text: &str) -> String {
    format!(r#"data: {{"choices":[{{"delta":{{"content":"{text}"}}}}]}}"#)
}

fn answer_cases() -> Vec<AnswerCase> {
    let right = expected_answer("mine", 2);
    let done = "data: [DONE]".to_owned();
    let problem = r#"{"type":"urn:zinniahinge:problem:overloaded","ran":"no"}"#;
    let refusal = format!(
        "HTTP/1.1 503 Busy\r\ncontent-length: {}\r\n\r\n{problem}",
        problem.len()
    );
    let case = |name, stream, answer, result| AnswerCase {
        name,
        stream,
        answer,
        result,
    };
    let refused = CallResult::Refused {
        kind: "overloaded".to_owned(),
        ran: "no".to_owned(),
    };
    let short = expected_answer("mine", 1);
    let other = expected_answer("yours", 2);
    let cut_whole = whole(&right).replace("content-length: ", "content-length: 1");
    let error = "event: error\ndata: {}".to_owned();
    vec![
        case("whole", false, whole(&right), CallResult::Whole),
        case("too short", false, whole(&short), CallResult::Wrong),
        case("another's", false, whole(&other), CallResult::Wrong),
        case("ends early", false, cut_whole, CallResult::Cut),
        case("refused", false, refusal, refused),
        case("closed", false, String::new(), CallResult::NoAnswer),
        case(
            "stream",
            true,
            events(&[token(&right), done.clone()], true),
            CallResult::Whole,
        ),
        case(
            "stream of another",
            true,
            events(&[token(&other), done.clone()], true),
            CallResult::Wrong,
        ),
        case(
            "stream without its end",
            true,
            events(&[token(&right)], true),
            CallResult::Cut,
        ),
        case(
            "broken stream",
            true,
            events(&[token(&right), done.clone()], false),
            CallResult::Cut,
        ),
        case(
            "stream with an error",
            true,
            events(&[token(&right), error, done], true),
            CallResult::Cut,
        ),
    ]
}

/// Answers one request and closes the connection.
fn serve_once(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(answer.as_bytes());
    });
    address
}

/// Guards against wrong or cut answers that are counted as right ones.
#[gtest]
#[tokio::test]
async fn answers_are_compared_with_the_request() {
    let client = ChatClient::new(0).expect("client");
    for case in answer_cases() {
        let call = ChatCall {
            address: serve_once(case.answer),
            key: "key".to_owned(),
            model: "m".to_owned(),
            text: "mine".to_owned(),
            max_tokens: 2,
            stream: case.stream,
            timeout: 20 * SECOND,
            trace_id: None,
        };
        let record = client.call(&call).await;
        expect_that!(record.result, eq(&case.result), "{}", case.name);
    }
}

// ----------------------------------------------------------------------------------------------
// Processes

/// Guards against figures from the wrong field when a program's name has spaces or parentheses.
#[gtest]
fn usage_is_read_from_the_right_fields() {
    let stat = "7 (a) b) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0 1 0";
    let usage = ProcessUsage::parse(stat, "Name:\tx\nVmRSS:\t    2048 kB\n");
    let expected = ProcessUsage {
        cpu: 3 * SECOND,
        resident_bytes: 2 * 1024 * 1024,
    };
    expect_that!(usage, some(eq(expected)));
    expect_that!(ProcessUsage::parse("7 (a) S 1", "VmRSS: 1 kB"), none());
}

// ----------------------------------------------------------------------------------------------
// Lines

/// Guards against extrapolations with a wrong line.
#[gtest]
fn line_goes_through_its_points() {
    let points = [3.0, 6.0, 18.0].map(|size| SlopePoint {
        size,
        value: 2.0 + 0.5 * size,
    });
    let line = SlopeLine::fit(&points);
    expect_that!(line.at(400.0), near(202.0, 1e-6));
    let single = SlopeLine::fit(&points[..1]);
    expect_that!(single.at(400.0), near(3.5, 1e-6));
    expect_that!(SlopeLine::fit(&[]).at(1.0), eq(0.0));
}
