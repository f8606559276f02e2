//! The queue of the frames to one peer, between the engine and the link.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use bamboocart_jobs::Frame;
use bamboocart_telemetry::job_metrics::FRAME_WAIT_SECONDS;
use metrics::histogram;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// The capacity of a queue. A full one means that the task of the link has got no turn for
/// as many updates of the engine.
const CAPACITY_FRAMES: usize = 256;

/// A `Result` whose error defaults to [`QueueFull`].
pub type Result<T, E = QueueFull> = std::result::Result<T, E>;

/// A frame was dropped because the queue is full.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct QueueFull;

/// A frame with the time at which it was added.
struct QueuedFrame {
    frame: Frame,
    queued_at: Instant,
}

/// Creates a queue and returns its two ends.
pub fn frame_queue() -> (FrameSender, FrameReceiver) {
    let (sender, receiver) = mpsc::channel(CAPACITY_FRAMES);
    let overflowed = Rc::<Cell<bool>>::default();
    let sender = FrameSender { frames: sender, overflowed: Rc::clone(&overflowed) };
    (sender, FrameReceiver { frames: receiver, overflowed })
}

/// The end of a queue at which the engine adds frames; the queue is closed with it.
pub struct FrameSender {
    frames: mpsc::Sender<QueuedFrame>,
    /// Whether a frame was dropped since the receiver last asked for it.
    overflowed: Rc<Cell<bool>>,
}

impl FrameSender {
    /// Adds a frame; a frame for a link that has ended is dropped.
    ///
    /// Returns an error if the queue is full, so that the frame was dropped while the link
    /// is open.
    pub fn send(&self, frame: Frame) -> Result<()> {
        match self.frames.try_send(QueuedFrame { frame, queued_at: Instant::now() }) {
            Ok(()) | Err(TrySendError::Closed(_)) => Ok(()),
            Err(TrySendError::Full(_)) => {
                self.overflowed.set(true);
                Err(QueueFull)
            }
        }
    }
}

/// The end of a queue from which a link takes the frames.
pub struct FrameReceiver {
    frames: mpsc::Receiver<QueuedFrame>,
    overflowed: Rc<Cell<bool>>,
}

impl FrameReceiver {
    /// Waits for the next frame; returns none if the queue is closed and empty.
    pub async fn recv(&mut self) -> Option<Frame> {
        let QueuedFrame { frame, queued_at } = self.frames.recv().await?;
        histogram!(FRAME_WAIT_SECONDS).record(queued_at.elapsed().as_secs_f64());
        Some(frame)
    }

    /// Returns whether the queue has overflowed and is empty now, once for each overflow.
    pub fn take_overflow(&mut self) -> bool {
        self.frames.is_empty() && self.overflowed.take()
    }

    /// Drops the queued frames.
    pub fn clear(&mut self) {
        while self.frames.try_recv().is_ok() {}
        self.overflowed.set(false);
    }

    /// Returns whether the sender was dropped.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}
