"""Issues certificates for tests of mutual TLS."""

import datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from pearwell.settings import TlsSettings


class Authority:
    """A certificate authority that issues instance certificates into a directory."""

    def __init__(self, directory):
        self._directory = directory
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test authority")])
        basic_constraints = x509.BasicConstraints(ca=True, path_length=None)
        certificate = self._sign(self._name, self._key, (basic_constraints, True))
        self._path = directory / f"authority-{id(self)}.pem"
        self._path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, instance):
        """Writes a new certificate and key for an instance and returns its TLS settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, instance)])
        names = x509.SubjectAlternativeName([x509.DNSName(instance)])
        certificate = self._sign(subject, key, (names, False))
        paths = [self._directory / f"{instance}.{suffix}" for suffix in ("crt", "key")]
        paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsSettings(certificate=str(paths[0]), key=str(paths[1]), authority=str(self._path))

    def _sign(self, subject, key, extension):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(extension[0], critical=extension[1])
        )
        return builder.sign(self._key, hashes.SHA256())
