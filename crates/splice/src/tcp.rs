//! Tasks that own a TCP socket.

use crate::Reporter;
use bytes::BytesMut;
use loftdrift_flow::{SocketCommand, SocketEvent};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

const CHUNK_BYTES: usize = 16 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) async fn connect_and_serve(
    server: SocketAddrV4,
    mut commands: mpsc::UnboundedReceiver<SocketCommand>,
    reporter: Reporter,
) {
    if commands.recv().await != Some(SocketCommand::Open) {
        return;
    }
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await {
        Ok(Ok(stream)) => serve(stream, commands, reporter).await,
        Ok(Err(_)) | Err(_) => {
            reporter.report(SocketEvent::Failed).await;
        }
    }
}

pub(crate) async fn serve_accepted(
    stream: TcpStream,
    mut commands: mpsc::UnboundedReceiver<SocketCommand>,
    reporter: Reporter,
) {
    if commands.recv().await == Some(SocketCommand::Open) {
        serve(stream, commands, reporter).await;
    } else {
        // The flow ended before it opened: the peer gets a reset, not an empty response.
        let _ = stream.set_zero_linger();
    }
}

async fn serve(
    stream: TcpStream,
    mut commands: mpsc::UnboundedReceiver<SocketCommand>,
    reporter: Reporter,
) {
    // Without TCP_NODELAY small writes wait for acknowledgements. Failing to set it does no harm.
    let _ = stream.set_nodelay(true);
    if !reporter.report(SocketEvent::Opened).await {
        return;
    }
    let (reader, mut writer) = stream.into_split();
    let (read_more, credits) = mpsc::unbounded_channel();
    let reading = tokio::spawn(read_chunks(reader, credits, reporter.clone()));
    let finished = write_commands(&mut commands, &mut writer, &read_more, &reporter).await;
    if finished {
        // The write half is shut down. Reading continues until the peer's end of stream, unless the
        // flow ends first.
        wait_for_end(&mut commands, &read_more, reading, &writer).await;
    } else {
        let _ = writer.as_ref().set_zero_linger();
        reading.abort();
    }
}

/// Carries out commands. Returns `true` if the write half was shut down without an error.
async fn write_commands(
    commands: &mut mpsc::UnboundedReceiver<SocketCommand>,
    writer: &mut OwnedWriteHalf,
    read_more: &mpsc::UnboundedSender<()>,
    reporter: &Reporter,
) -> bool {
    while let Some(command) = commands.recv().await {
        match command {
            SocketCommand::Open => {}
            SocketCommand::ReadMore => {
                // Fails only if the reader has ended; it needs no credit then.
                let _ = read_more.send(());
            }
            SocketCommand::Write(bytes) => {
                if writer.write_all(&bytes).await.is_err() {
                    reporter.report(SocketEvent::Failed).await;
                    return false;
                }
                if !reporter.report(SocketEvent::Written(bytes.len())).await {
                    return false;
                }
            }
            SocketCommand::FinishWriting => return writer.shutdown().await.is_ok(),
            SocketCommand::Abort => return false,
        }
    }
    false
}

/// Waits until the reader has ended; an abort, or the end of the flow, resets the connection.
async fn wait_for_end(
    commands: &mut mpsc::UnboundedReceiver<SocketCommand>,
    read_more: &mpsc::UnboundedSender<()>,
    mut reading: tokio::task::JoinHandle<()>,
    writer: &OwnedWriteHalf,
) {
    loop {
        tokio::select! {
            _ = &mut reading => return,
            command = commands.recv() => match command {
                Some(SocketCommand::ReadMore) => {
                    let _ = read_more.send(());
                }
                Some(SocketCommand::Abort) | None => {
                    let _ = writer.as_ref().set_zero_linger();
                    reading.abort();
                    return;
                }
                Some(_) => {}
            },
        }
    }
}

/// Reads one chunk at first, and one more for each credit received.
async fn read_chunks(
    mut reader: OwnedReadHalf,
    mut credits: mpsc::UnboundedReceiver<()>,
    reporter: Reporter,
) {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        let event = match reader.read_buf(&mut chunk).await {
            Ok(0) => SocketEvent::Finished,
            Ok(_) => SocketEvent::Received(chunk.freeze()),
            Err(_) => SocketEvent::Failed,
        };
        let more = matches!(event, SocketEvent::Received(_));
        if !reporter.report(event).await || !more || credits.recv().await.is_none() {
            return;
        }
    }
}
