//! Whether an agent knows all flows of its back end, as its reports say.

use bincode::de::Decoder;
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};

/// Whether an agent knows all flows of its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FlowKnowledge {
    /// It knows all: the back end has certainly started while it ran, or it has run for as long as
    /// a flow lasts.
    #[default]
    Complete,
    /// An earlier process of the agent may have placed flows that this one does not know. It would
    /// answer `Unknown` for those, so it need not be asked.
    Partial,
}

impl FlowKnowledge {
    const COMPLETE: u8 = 0;
    const PARTIAL: u8 = 2;
}

impl Encode for FlowKnowledge {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        let code = match self {
            FlowKnowledge::Complete => FlowKnowledge::COMPLETE,
            FlowKnowledge::Partial => FlowKnowledge::PARTIAL,
        };
        code.encode(encoder)
    }
}

/// Nodes of earlier versions also send 1, for an agent that only presumes that it knows all flows.
impl<Context> Decode<Context> for FlowKnowledge {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        match u8::decode(decoder)? {
            FlowKnowledge::COMPLETE => Ok(FlowKnowledge::Complete),
            _ => Ok(FlowKnowledge::Partial),
        }
    }
}

bincode::impl_borrow_decode!(FlowKnowledge);
