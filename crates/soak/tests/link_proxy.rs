//! Links that delay, hold back, and reset.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use zinniahinge_soak::LinkMode;
use zinniahinge_soak::LinkProxy;

type Outcome = std::result::Result<(), Box<dyn std::error::Error>>;

/// Time after which bytes that have not come are held back.
const HELD: Duration = Duration::from_millis(150);

/// Time within which bytes that pass have come, also on a busy machine.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(5);

/// A server that sends back what it gets, behind a proxy.
async fn echo() -> std::io::Result<LinkProxy> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    LinkProxy::start(address).await
}

struct ModeCase {
    mode: LinkMode,
    /// True if an answer comes at once.
    passes: bool,
    /// True if the connection goes on when the link heals.
    survives: bool,
}

#[tokio::test]
async fn each_mode_does_what_it_says() -> Outcome {
    let held = |mode| ModeCase {
        mode,
        passes: false,
        survives: true,
    };
    let cases = [
        ModeCase {
            mode: LinkMode::Open,
            passes: true,
            survives: true,
        },
        held(LinkMode::Delayed(HELD * 2)),
        held(LinkMode::CutToServer),
        held(LinkMode::CutToClient),
        held(LinkMode::Silent),
        ModeCase {
            mode: LinkMode::Reset,
            passes: false,
            survives: false,
        },
    ];
    for ModeCase {
        mode,
        passes,
        survives,
    } in cases
    {
        let link = echo().await?;
        let mut stream = TcpStream::connect(link.address()).await?;
        let mut byte = [0; 1];
        stream.write_all(b"a").await?;
        stream.read_exact(&mut byte).await?;
        link.set_mode(mode);
        tokio::time::sleep(Duration::from_millis(30)).await;
        // A reset may already show when writing.
        let _ = stream.write_all(b"b").await;
        let limit = if passes { ARRIVAL_LIMIT } else { HELD };
        let read = tokio::time::timeout(limit, stream.read_exact(&mut byte)).await;
        let has_passed = matches!(read, Ok(Ok(_)));
        assert_that!(has_passed, eq(passes), "{mode:?}");
        if !passes {
            link.set_mode(LinkMode::Open);
            let read = tokio::time::timeout(ARRIVAL_LIMIT, stream.read_exact(&mut byte)).await;
            assert_that!(matches!(read, Ok(Ok(_))), eq(survives), "{mode:?}");
        }
    }
    Ok(())
}
