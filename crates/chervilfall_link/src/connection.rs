//! One connection after its handshake: frames out of a bounded queue, frames in to a sink.

use std::time::Duration;

use anyhow::{bail, Context};
use chervilfall_types::{EntryId, RemoteInstant};
use chervilfall_wire::PeerMessage;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio::time::{interval, timeout, MissedTickBehavior};
use tokio_tungstenite::tungstenite::Message;

use crate::frame::{decode, encode, Frame};
use crate::handshake::Socket;
use crate::hub::{Clock, LinkEvent, LinkNumber, LinkSettings, Sink};

/// Which link a connection carries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Name {
    pub(crate) link: LinkNumber,
    pub(crate) peer: EntryId,
}

/// Carries frames until the connection fails or stays silent for too long.
pub(crate) async fn run<S: Sink, C: Clock>(
    socket: Socket,
    name: Name,
    settings: &LinkSettings,
    queue: &mut mpsc::Receiver<PeerMessage>,
    sink: &S,
    clock: &C,
) -> anyhow::Result<()> {
    let (writer, reader) = socket.split();
    tokio::select! {
        ended = write(writer, settings, queue, clock) => ended,
        ended = read(reader, name, settings, sink) => ended,
    }
}

async fn write<C: Clock>(
    mut writer: SplitSink<Socket, Message>,
    settings: &LinkSettings,
    queue: &mut mpsc::Receiver<PeerMessage>,
    clock: &C,
) -> anyhow::Result<()> {
    let mut beat = interval(Duration::from_millis(settings.heartbeat_ms));
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            _ = beat.tick() => Frame::Heartbeat(RemoteInstant(clock.now().0)),
            message = queue.recv() => Frame::Message(Box::new(message.context("link closed")?)),
        };
        feed(&mut writer, &frame).await?;
        while let Ok(message) = queue.try_recv() {
            feed(&mut writer, &Frame::Message(Box::new(message))).await?;
        }
        writer.flush().await?;
    }
}

async fn feed(writer: &mut SplitSink<Socket, Message>, frame: &Frame) -> anyhow::Result<()> {
    let bytes = encode(frame)?;
    count("sent", bytes.len());
    Ok(writer.feed(Message::binary(bytes)).await?)
}

fn count(direction: &'static str, bytes: usize) {
    metrics::counter!("chervilfall_link_bytes_total", "direction" => direction)
        .increment(bytes as u64);
    metrics::counter!("chervilfall_link_frames_total", "direction" => direction).increment(1);
}

async fn read<S: Sink>(
    mut reader: SplitStream<Socket>,
    name: Name,
    settings: &LinkSettings,
    sink: &S,
) -> anyhow::Result<()> {
    let Name { link, peer } = name;
    let silence = Duration::from_millis(settings.silence_ms);
    loop {
        let message = timeout(silence, reader.next())
            .await
            .context("peer is silent")?
            .context("connection closed")??;
        if message.is_close() {
            bail!("peer closed the connection");
        }
        let bytes = message.into_data();
        count("received", bytes.len());
        let event = match decode(&bytes)? {
            Frame::Heartbeat(clock) => LinkEvent::Clock { link, peer, clock },
            Frame::Message(message) => LinkEvent::Message {
                link,
                peer,
                message: *message,
            },
        };
        sink.put(event).await;
    }
}
