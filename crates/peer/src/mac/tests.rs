use super::*;

const KEY: [u8; blake3::KEY_LEN] = [7; blake3::KEY_LEN];

fn sealed(stream: &mut Stream, message: &[u8]) -> Bytes {
    let mut message = message.to_vec();
    stream.seal(&mut message);
    message.into()
}

#[test]
fn messages_arrive_as_they_were_sent() {
    let mut sender = Stream::open(KEY);
    let mut receiver = Stream::open(KEY);
    for message in [&b""[..], b"a", b"a", &[0; 100_000]] {
        let sealed = sealed(&mut sender, message);
        assert_eq!(receiver.unseal(&sealed).expect("sealed"), message);
    }
}

#[test]
fn any_flipped_bit_is_noticed() {
    let message = sealed(&mut Stream::open(KEY), b"a frame");
    for bit in 0..message.len() * 8 {
        let mut flipped = message.to_vec();
        flipped[bit / 8] ^= 1 << (bit % 8);
        let opened = Stream::open(KEY).unseal(&flipped.into());
        assert!(matches!(opened, Err(Error::InvalidTag)), "bit {bit}");
    }
}

#[test]
fn repeated_swapped_and_missing_messages_are_noticed() {
    let mut sender = Stream::open(KEY);
    let first = sealed(&mut sender, b"first");
    let second = sealed(&mut sender, b"second");
    for order in [[&first, &first], [&second, &first]] {
        let mut receiver = Stream::open(KEY);
        let opened = order.map(|message| receiver.unseal(message).is_ok());
        assert!(!opened[0] || !opened[1]);
    }
    assert!(Stream::open(KEY).unseal(&second).is_err());
    assert!(
        Stream::open(KEY)
            .unseal(&Bytes::from_static(b"short"))
            .is_err()
    );
}
