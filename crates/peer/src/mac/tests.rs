use super::*;

const KEY: [u8; blake3::KEY_LEN] = [7; blake3::KEY_LEN];

fn sign(sender: &mut Authenticator, message: &[u8]) -> Bytes {
    let mut message = message.to_vec();
    sender.sign(&mut message);
    message.into()
}

#[test]
fn signed_messages_verify_in_order() {
    let mut sender = Authenticator::new(KEY);
    let mut receiver = Authenticator::new(KEY);
    for message in [&b""[..], b"a", b"a", &[0; 100_000]] {
        let tagged = sign(&mut sender, message);
        assert_eq!(receiver.verify(&tagged).expect("a valid tag"), message);
    }
}

#[test]
fn any_flipped_bit_is_detected() {
    let message = sign(&mut Authenticator::new(KEY), b"a frame");
    for bit in 0..message.len() * 8 {
        let mut flipped = message.to_vec();
        flipped[bit / 8] ^= 1 << (bit % 8);
        let verified = Authenticator::new(KEY).verify(&flipped.into());
        assert!(matches!(verified, Err(Error::InvalidTag)), "bit {bit}");
    }
}

#[test]
fn repeated_reordered_and_missing_messages_are_detected() {
    let mut sender = Authenticator::new(KEY);
    let first = sign(&mut sender, b"first");
    let second = sign(&mut sender, b"second");
    for order in [[&first, &first], [&second, &first]] {
        let mut receiver = Authenticator::new(KEY);
        let verified = order.map(|message| receiver.verify(message).is_ok());
        assert!(!verified[0] || !verified[1]);
    }
    assert!(Authenticator::new(KEY).verify(&second).is_err());
    assert!(
        Authenticator::new(KEY)
            .verify(&Bytes::from_static(b"short"))
            .is_err()
    );
}
