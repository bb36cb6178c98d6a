//! Transport of control messages: length-delimited MessagePack.

use serde::{Serialize, de::DeserializeOwned};
use tarpc::serde_transport::{self, Transport};
use tokio::net::TcpStream;
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Largest control message, in bytes. It must hold a published document, which is at most one
/// megabyte.
pub const MESSAGE_LIMIT_BYTES: usize = 2 << 20;

/// A control connection that receives `Item`s and sends `SinkItem`s.
pub type Control<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, MessagePack<Item, SinkItem>>;

/// Makes a transport of a connection whose preface has been exchanged.
pub fn wrap<Item, SinkItem>(stream: TcpStream) -> Control<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT_BYTES)
        .new_codec();
    serde_transport::new(codec.framed(stream), MessagePack::default())
}
