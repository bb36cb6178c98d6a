//! The codec of control connections: length-delimited MessagePack.

use serde::{Serialize, de::DeserializeOwned};
use tarpc::serde_transport::{self, Transport};
use tokio::net::TcpStream;
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Largest control message, in bytes. A published document has at most a megabyte.
pub const MESSAGE_LIMIT_BYTES: usize = 2 << 20;

/// A transport of `Item`s received and `SinkItem`s sent.
pub type Control<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, MessagePack<Item, SinkItem>>;

/// Wraps a connection whose preface has passed.
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
